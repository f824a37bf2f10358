package org.corianderweir.bench.scenario;

import java.time.Duration;
import org.corianderweir.bench.backend.ServerSwitches;

/**
 * A change by an operator or a fault during a run. Zones, instances, servers and organisations are
 * given by their index in the deployment, from zero.
 */
public sealed interface Action {
  /** An operator withdraws the key of an organisation. */
  record WithdrawKey(int organisation) implements Action {}

  /** An operator drains a backend server. */
  record DrainServer(int server) implements Action {}

  /** An operator shifts most of the first open route's traffic to a zone's region. */
  record ShiftRoute(int zone) implements Action {}

  /** An operator makes a change through one instance that only increments the revision. */
  record IncrementRevision(int instance) implements Action {}

  /** Several operators change the configuration concurrently through different instances. */
  record RaceOperators(int operators) implements Action {}

  /** An entry instance is stopped as planned. */
  record StopInstance(int instance) implements Action {}

  /** An entry instance is killed and restarted after a delay. */
  record KillInstance(int instance, Duration restartAfter) implements Action {}

  /** An entry instance is frozen for the given duration. */
  record FreezeInstance(int instance, Duration duration) implements Action {}

  /** The process of a zone's backend servers is killed. */
  record KillServers(int zone) implements Action {}

  /** The process of a zone's backend servers is frozen for the given duration. */
  record FreezeServers(int zone, Duration duration) implements Action {}

  /** The switches of a backend server are set to the given ones for the given duration. */
  record SwitchServer(int server, ServerSwitches switches, Duration duration) implements Action {}

  /** A backend server's answers are cut off after the given bytes for the given duration. */
  record TruncateResponses(int server, long limitBytes, Duration duration) implements Action {}

  /** A zone is cut off from all other zones, from the platform or from both. */
  record PartitionZone(int zone, boolean otherZones, boolean platform, Duration duration)
      implements Action {}

  /** Bytes from one zone to another are held back; the opposite direction works. */
  record BlockOneWay(int fromZone, int toZone, Duration duration) implements Action {}

  /** No zone reaches the platform for the given duration. */
  record PlatformOutage(Duration duration) implements Action {}

  /** Every answer of the platform is delayed for the given duration. */
  record PlatformSlow(Duration oneWayDelay, Duration duration) implements Action {}

  /** Answers of the platform are held back, but requests reach it, so writes take effect. */
  record BlockPlatformResponses(Duration duration) implements Action {}
}
