package org.corianderweir.model.store;

import java.time.Duration;

/**
 * A lease of the store. Keys that are attached to it are removed when it ends.
 *
 * @param identifier identifier of the lease
 * @param timeToLive time until the lease ends unless it is renewed, counted from the time at which
 *     the store received the request
 */
public record Lease(long identifier, Duration timeToLive) {}
