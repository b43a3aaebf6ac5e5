package org.geraniumusher.entry;

import com.google.common.primitives.Ints;
import com.sun.management.UnixOperatingSystemMXBean;

import java.lang.management.ManagementFactory;

/** Counts the file descriptors of this process, most of which are sockets. Thread-safe. */
final class OpenFiles {
    private OpenFiles() {}

    /** Returns the number of open descriptors, or -1 if the platform does not tell it. */
    static int count() {
        UnixOperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(UnixOperatingSystemMXBean.class);
        return system == null ? -1 : Ints.saturatedCast(system.getOpenFileDescriptorCount());
    }
}
