/*
 * Claims on non-idempotent requests: one key, in one shard's log.
 *
 * Owners (claim.shard, claim.shardLog) take the shard over from each other,
 * pause anywhere and crash. Hosts (claim.Service) send the same key, maybe
 * through several hosts, and lose answers. The store is a ring of slots that
 * are written by compare-and-swap; here the ring is as long as the run, so that
 * a slot's version is "empty" or "written".
 *
 * Checked: at most one run; a caller told "nothing ran" is right for its own
 * attempt; an attempt is granted only if its claim is in the log; once faults
 * stop, an attempt is answered.
 *
 * checks: safety progress
 * mutants: NO_FENCE NO_READBACK DISPATCH_FIRST TRUST_LEASE DECIDE_IN_OUTAGE NO_FOLD STRANGER_SPEAKS RUN_AFTER_GIVEUP
 */
