package org.galenapost.core.action;

import java.time.InstantSource;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/** The collaborators shared by all flushes. */
record ClaimContext(
    ObjectStore store,
    Scheduler scheduler,
    MonotonicClock clock,
    InstantSource wallClock,
    RandomSource random,
    ClaimRules rules,
    ExpiredShards shards,
    ClaimCompactor compactor) {}
