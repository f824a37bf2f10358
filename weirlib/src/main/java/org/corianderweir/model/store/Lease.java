package org.corianderweir.model.store;

import java.time.Duration;

/**
 * A lease; keys that were written under it are removed when it ends.
 *
 * @param identifier its identifier
 * @param timeToLive time until it ends unless it is renewed, counted from when the store got the
 *     call
 */
public record Lease(long identifier, Duration timeToLive) {}
