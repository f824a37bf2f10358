package org.corianderweir.bench.observer;

/** A change by an operator or a fault during a run. Times are monotonic, in nanoseconds. */
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
   * @param requestedNanoseconds when the stop was requested
   * @param endedNanoseconds when the process had ended or the wait for its end was given up
   * @param exitStatus exit status of the process; -1 if it did not end
   */
  record InstanceStopped(
      String instance, long requestedNanoseconds, long endedNanoseconds, int exitStatus)
      implements Incident {}

  /**
   * An entry instance could not receive configuration changes because it was killed, frozen or cut
   * off. The checks of the configuration in force make an exception for that time.
   *
   * @param instance name of the instance
   * @param fromNanoseconds start of that time
   * @param toNanoseconds end of that time
   */
  record InstanceExcused(String instance, long fromNanoseconds, long toNanoseconds)
      implements Incident {}

  /**
   * A backend server was made faulty by the test bench, so its refusals are no sign of a lack of
   * slots.
   *
   * @param server name of the server
   * @param fromNanoseconds start of that time
   * @param toNanoseconds end of that time
   */
  record ServerFaulty(String server, long fromNanoseconds, long toNanoseconds)
      implements Incident {}

  /**
   * A configuration change by an operator was accepted.
   *
   * @param revision accepted revision
   * @param acceptedNanoseconds when the answer arrived
   */
  record RevisionAccepted(long revision, long acceptedNanoseconds) implements Incident {}

  /**
   * An operator started to shift the traffic of a route to another region.
   *
   * @param path path prefix of the route
   * @param capPerSecond largest share of the traffic, from 0 to 1, that may move in one second
   * @param acceptedNanoseconds when the change was accepted
   */
  record ShiftStarted(String path, double capPerSecond, long acceptedNanoseconds)
      implements Incident {}

  /**
   * The process of a backend server was killed.
   *
   * @param server name of the server
   * @param atNanoseconds when it was killed
   */
  record ServerKilled(String server, long atNanoseconds) implements Incident {}

  /**
   * An action of the scenario failed, so the run covers less than was planned.
   *
   * @param message description of the failure
   * @param atNanoseconds when it failed
   */
  record ActionFailed(String message, long atNanoseconds) implements Incident {}
}
