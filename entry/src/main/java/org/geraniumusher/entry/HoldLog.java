package org.geraniumusher.entry;

import com.google.common.base.Ascii;
import com.google.common.collect.ObjectArrays;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.HoldEnd;
import org.geraniumusher.keyrange.HoldListener;

import java.util.concurrent.TimeUnit;

/**
 * Logs and counts the holds of one service that end and the owners that are lost. Confined to the
 * event loop.
 */
final class HoldLog implements HoldListener {
    private final String mService;
    private final EntryMetrics mMetrics;
    private final DecisionLog mLog;

    HoldLog(String service, EntryMetrics metrics, DecisionLog log) {
        mService = service;
        mMetrics = metrics;
        mLog = log;
    }

    @Override
    public void onHoldEnded(String incarnationId, Assignment assignment, HoldEnd end) {
        mMetrics.onHoldEnded(end);
        write(
                "Former holder has no keys of the range any more",
                incarnationId,
                assignment,
                "reason",
                Ascii.toLowerCase(end.name()));
    }

    @Override
    public void onOwnerLost(Assignment assignment) {
        mMetrics.onOwnerLost();
        write(
                "Server is lost, its hold has run out without an answer",
                assignment.owner(),
                assignment);
    }

    @Override
    public void onOwnerReturned(String incarnationId) {
        mLog.write(
                Part.OWNERSHIP,
                "Lost server answers again",
                "service",
                mService,
                "server",
                incarnationId);
    }

    @Override
    public void onRecovered(Assignment assignment, long lostNanos) {
        mMetrics.onRangeRecovered(lostNanos);
        write(
                "Range of a lost owner is granted again",
                assignment.owner(),
                assignment,
                "lost_ms",
                TimeUnit.NANOSECONDS.toMillis(lostNanos));
    }

    /** Writes a line on a server and the range of an assignment, with further fields. */
    private void write(
            String event, String incarnationId, Assignment assignment, Object... fields) {
        Object[] common = {
            "service",
            mService,
            "server",
            incarnationId,
            "range",
            assignment.range(),
            "fence",
            assignment.fence()
        };
        mLog.write(Part.OWNERSHIP, event, ObjectArrays.concat(common, fields, Object.class));
    }
}
