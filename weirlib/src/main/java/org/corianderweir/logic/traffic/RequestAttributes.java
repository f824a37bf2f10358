package org.corianderweir.logic.traffic;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a request says of itself.
 *
 * @param identifier identifier, given by the caller
 * @param host value of the {@code Host} field
 * @param path path without the query
 * @param accessKey key of the caller's organisation
 * @param affinityKey object that it concerns
 * @param deadlineMilliseconds how long the caller waits, in milliseconds
 */
public record RequestAttributes(
    String identifier,
    String host,
    String path,
    Optional<String> accessKey,
    Optional<String> affinityKey,
    OptionalLong deadlineMilliseconds) {}
