package org.corianderweir.bench.observer;

/** Something that operators or faults did during a run. Times are monotonic nanoseconds. */
public sealed interface Incident {
  /**
   * An organisation's key was withdrawn.
   *
   * @param key identifier of the key
   * @param acceptedNanoseconds when the change was accepted
   */
  record KeyWithdrawn(String key, long acceptedNanoseconds) implements Incident {}

  /**
   * A backend server began to drain.
   *
   * @param server name of the server
   * @param acceptedNanoseconds when the change was accepted
   */
  record ServerDrained(String server, long acceptedNanoseconds) implements Incident {}

  /**
   * An entry instance was stopped as planned.
   *
   * @param instance name of the instance
   * @param requestedNanoseconds when the stop was asked for
   * @param endedNanoseconds when the process had ended; zero if it had not
   * @param exitStatus exit status of the process; -1 if it had not ended
   */
  record InstanceStopped(
      String instance, long requestedNanoseconds, long endedNanoseconds, int exitStatus)
      implements Incident {}

  /**
   * An entry instance could not be expected to follow: it was killed, frozen or cut off.
   *
   * @param instance name of the instance
   * @param fromNanoseconds when that began
   * @param toNanoseconds when that ended
   */
  record InstanceExcused(String instance, long fromNanoseconds, long toNanoseconds)
      implements Incident {}

  /**
   * A backend server refused requests by a switch of the bench, not for want of slots.
   *
   * @param server name of the server
   * @param fromNanoseconds when that began
   * @param toNanoseconds when that ended
   */
  record ServerFaulty(String server, long fromNanoseconds, long toNanoseconds)
      implements Incident {}

  /**
   * Operators changed the configuration.
   *
   * @param revision revision that was accepted
   * @param acceptedNanoseconds when the answer was there
   */
  record RevisionAccepted(long revision, long acceptedNanoseconds) implements Incident {}

  /**
   * Operators began to shift the traffic of a route.
   *
   * @param path path prefix of the route
   * @param capPerSecond largest share of the traffic that may move in a second
   * @param acceptedNanoseconds when the change was accepted
   */
  record ShiftStarted(String path, double capPerSecond, long acceptedNanoseconds)
      implements Incident {}

  /**
   * The process of a backend server was killed.
   *
   * @param server name of the server
   * @param atNanoseconds when that was
   */
  record ServerKilled(String server, long atNanoseconds) implements Incident {}

  /**
   * An action of the bench failed, so that the run says less than it should.
   *
   * @param message what happened
   * @param atNanoseconds when that was
   */
  record ActionFailed(String message, long atNanoseconds) implements Incident {}
}
