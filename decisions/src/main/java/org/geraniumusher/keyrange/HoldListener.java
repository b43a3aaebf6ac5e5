package org.geraniumusher.keyrange;

/** Is told of holds that end and of owners that are lost. */
public interface HoldListener {
    /** A listener that does nothing. */
    HoldListener NONE =
            new HoldListener() {
                @Override
                public void onHoldEnded(String incarnationId, Assignment assignment, HoldEnd end) {}

                @Override
                public void onOwnerLost(Assignment assignment) {}

                @Override
                public void onOwnerReturned(String incarnationId) {}

                @Override
                public void onRecovered(Assignment assignment, long lostNanos) {}
            };

    /**
     * Called when an incarnation no longer counts as a holder of the range of an assignment.
     *
     * @param end the proof of that
     */
    void onHoldEnded(String incarnationId, Assignment assignment, HoldEnd end);

    /** Called when the grants to an owner have failed until its hold ran out. */
    void onOwnerLost(Assignment assignment);

    /** Called when a lost server has answered a call. */
    void onOwnerReturned(String incarnationId);

    /**
     * Called when a range whose owner was lost has an owner again.
     *
     * @param lostNanos time since the first failed grant to the lost owner was sent
     */
    void onRecovered(Assignment assignment, long lostNanos);
}
