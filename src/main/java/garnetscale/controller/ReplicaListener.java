package garnetscale.controller;

/** Callbacks of {@link ReplicaListing} and {@link ReplicaWatch}, which keep the replica. */
interface ReplicaListener {

    /**
     * The replica contains all that was stored when a request was sent.
     *
     * @param sentAt milliseconds of the steady clock
     */
    void onConfirmed(long sentAt);

    /** A listing has loaded the replica, which is to be watched from now on. */
    void onLoaded();

    /**
     * The replica has been advanced to a newer revision.
     *
     * @param changed whether anything that it contains has changed
     */
    void onAdvanced(boolean changed);
}
