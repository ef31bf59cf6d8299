package garnetscale.controller;

/** Callbacks of {@link ReplicaListing} and {@link ReplicaWatch}, which keep the replica up to date. */
interface ReplicaListener {

    /**
     * Called when the replica contains everything that was stored when a request was sent.
     *
     * @param sentAt when the request was sent, in milliseconds of the steady clock
     */
    void onConfirmed(long sentAt);

    /** Called when a listing has loaded the replica, which is to be watched from now on. */
    void onLoaded();

    /**
     * Called when an answer to a watch or sync has been applied to the replica.
     *
     * @param changed whether the replica's contents have changed
     */
    void onAdvanced(boolean changed);
}
