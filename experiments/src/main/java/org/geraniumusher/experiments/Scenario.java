package org.geraniumusher.experiments;

/** Scripts what happens to a service during a run; all times are simulated. */
enum Scenario {
    /** Nothing happens. */
    STEADY,
    /** One server is ten times slower from the start of the measurement on. */
    SLOWED_1 {
        @Override
        void script(ClusterRun run) {
            slow(run, 1);
        }
    },
    /** Two servers are ten times slower. */
    SLOWED_2 {
        @Override
        void script(ClusterRun run) {
            slow(run, 2);
        }
    },
    /** Four servers are ten times slower. */
    SLOWED_4 {
        @Override
        void script(ClusterRun run) {
            slow(run, 4);
        }
    },
    /**
     * Each server has moments of 300 ms, on average every 10 s, in which it is ten times slower.
     */
    SLOW_MOMENTS {
        @Override
        void script(ClusterRun run) {
            for (int i = 0; i < run.size().servers(); i++) {
                run.slowMoments(i, 10 * SECOND, 300 * MILLI, SLOW_FACTOR);
            }
        }
    },
    /**
     * The first data centre is taken out of service, its servers stop 6 s later, and 16 s after the
     * departure they return with new, cold processes.
     */
    DEPARTURE_AND_RETURN {
        @Override
        long lengthNanos() {
            return 40 * SECOND;
        }

        @Override
        void script(ClusterRun run) {
            run.events().at(START, run::departDataCentre);
            run.events().at(START + 6 * SECOND, run::stopDataCentre);
            run.events().at(START + 16 * SECOND, run::returnDataCentre);
        }
    },
    /** One server turns cold without any sign but its behaviour. */
    SUDDENLY_COLD {
        @Override
        void script(ClusterRun run) {
            run.events().at(START, () -> run.turnCold(0));
            run.events().at(START + SECOND, run::startLateExcess);
        }
    },
    /** Callers ask for 1.5 times the capacity. */
    OVERLOAD {
        @Override
        double load() {
            return 1.5;
        }
    };

    /** Steady time before the measurement. */
    static final long START = 3_000_000_000L;

    private static final long SECOND = 1_000_000_000;
    private static final long MILLI = 1_000_000;
    private static final double SLOW_FACTOR = 10;

    /** Half of the capacity, so that two of three data centres can carry the whole. */
    private static final double NORMAL_LOAD = 0.5;

    void script(ClusterRun run) {}

    long lengthNanos() {
        return 10 * SECOND;
    }

    /** Returns the requests offered as a share of the capacity of all warm servers. */
    double load() {
        return NORMAL_LOAD;
    }

    private static void slow(ClusterRun run, int count) {
        run.events().at(START, () -> run.slow(count, SLOW_FACTOR));
    }
}
