package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.autoscaling.Autoscaler;
import garnetscale.core.leader.Leader;
import garnetscale.core.partition.PartitionOwner;
import garnetscale.core.state.StateReplica;
import io.netty.channel.EventLoop;

/** The objects that the parts of one controller process share; all are confined to its event loop. */
record ControllerContext(
        SchedulerConfig config,
        EventLoop eventLoop,
        EventLoopPacer pacer,
        EventLoopProfile profile,
        StateReplica replica,
        PartitionOwner owner,
        Leader leader,
        Autoscaler autoscaler) {}
