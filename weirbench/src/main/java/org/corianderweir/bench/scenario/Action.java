package org.corianderweir.bench.scenario;

import java.time.Duration;
import org.corianderweir.bench.backend.ServerSwitches;

/** Something that operators or faults do during a run. Numbers count from zero. */
public sealed interface Action {
  /** An operator withdraws the key of an organisation. */
  record WithdrawKey(int organisation) implements Action {}

  /** An operator drains a backend server. */
  record DrainServer(int server) implements Action {}

  /** An operator shifts most of the first open route's traffic to a zone's region. */
  record ShiftRoute(int zone) implements Action {}

  /** An operator changes nothing but the revision, through one instance. */
  record IncrementRevision(int instance) implements Action {}

  /** Several operators change the configuration at the same time through different instances. */
  record RaceOperators(int operators) implements Action {}

  /** An entry instance is stopped as planned. */
  record StopInstance(int instance) implements Action {}

  /** An entry instance is killed and started again after a while. */
  record KillInstance(int instance, Duration restartAfter) implements Action {}

  /** An entry instance is frozen for a while. */
  record FreezeInstance(int instance, Duration duration) implements Action {}

  /** The process of a zone's backend servers is killed. */
  record KillServers(int zone) implements Action {}

  /** The process of a zone's backend servers is frozen for a while. */
  record FreezeServers(int zone, Duration duration) implements Action {}

  /** A backend server behaves in another way for a while. */
  record SwitchServer(int server, ServerSwitches switches, Duration duration) implements Action {}

  /** A backend server's answers are cut off after some bytes for a while. */
  record TruncateResponses(int server, long limitBytes, Duration duration) implements Action {}

  /** A zone is cut off from all other zones and, if wanted, from the platform. */
  record PartitionZone(int zone, boolean otherZones, boolean platform, Duration duration)
      implements Action {}

  /** Bytes from one zone to another are held; the way back works. */
  record BlockOneWay(int fromZone, int toZone, Duration duration) implements Action {}

  /** No zone reaches the platform for a while. */
  record PlatformOutage(Duration duration) implements Action {}

  /** Every answer of the platform takes longer for a while. */
  record PlatformSlow(Duration oneWayDelay, Duration duration) implements Action {}

  /** Answers of the platform are held, its input is not: writes take effect unheard. */
  record BlockPlatformResponses(Duration duration) implements Action {}
}
