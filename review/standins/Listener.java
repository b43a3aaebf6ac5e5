package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback port, one thread each; can refuse and accept again. */
final class Listener {
    interface Handler {
        void handle(Socket socket) throws IOException;
    }

    private static int nextPort = 12_000 + (int) (ProcessHandle.current().pid() % 600) * 32;

    private final Handler mHandler;
    private final int mPort;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mServer;

    Listener(Handler handler) {
        mHandler = handler;
        mServer = bind(0);
        mPort = mServer.getLocalPort();
        startAccepting(mServer);
    }

    private static ServerSocket bind(int port) {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            return server;
        } catch (IOException e) {
            throw new IllegalStateException("cannot bind port " + port, e);
        }
    }

    private void startAccepting(ServerSocket server) {
        daemonThread(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        mSockets.add(socket);
                        daemonThread(() -> run(socket));
                    }
                });
    }

    private void run(Socket socket) throws IOException {
        try (socket) {
            mHandler.handle(socket);
        } finally {
            mSockets.remove(socket);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a thread that does not keep the process alive; its failure only ends it. */
    static void daemonThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // The peer closed the connection, or the run ends.
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return mPort;
    }

    String address() {
        return "127.0.0.1:" + mPort;
    }

    /** Resets all connections and refuses new ones. */
    void refuse() {
        try {
            mServer.close();
            for (Socket socket : mSockets) {
                reset(socket);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Accepts connections again at the same port. */
    void accept() {
        mServer = bind(mPort);
        startAccepting(mServer);
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    /**
     * Returns a free port below the range that the system gives to clients. Cases that run at the
     * same time begin at different ports.
     */
    static synchronized int freePort() {
        while (true) {
            int port = nextPort++;
            try (ServerSocket server = bind(port)) {
                return server.getLocalPort();
            } catch (IOException | IllegalStateException e) {
                // In use; try the next one.
            }
        }
    }
}
