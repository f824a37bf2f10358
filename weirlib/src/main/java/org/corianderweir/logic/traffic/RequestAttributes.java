package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.corianderweir.model.Durations;
import org.corianderweir.model.traffic.TrafficRoute;

/**
 * The attributes of a request that decide how it is handled.
 *
 * @param identifier identifier of the request, given by the caller
 * @param host value of the {@code Host} header field
 * @param path path of the request without the query
 * @param accessKey access key of the caller's organisation
 * @param affinityKey key of the object that the request concerns
 * @param deadlineMilliseconds how long the caller waits, in milliseconds
 * @param queueTime how long the request waited in this process before it was handled
 */
public record RequestAttributes(
    String identifier,
    String host,
    String path,
    Optional<String> accessKey,
    Optional<String> affinityKey,
    OptionalLong deadlineMilliseconds,
    Duration queueTime) {
  /** Returns the time until a request that arrives now must have its answer, in nanoseconds. */
  long nanosecondsToDeadline(TrafficRoute route) {
    long timeout = Durations.toBoundedNanoseconds(route.timeout());
    long asked =
        deadlineMilliseconds().stream()
            .map(wanted -> Durations.toBoundedNanoseconds(Duration.ofMillis(wanted)))
            .findFirst()
            .orElse(timeout);
    return Math.min(timeout, asked) - queueTime.toNanos();
  }
}
