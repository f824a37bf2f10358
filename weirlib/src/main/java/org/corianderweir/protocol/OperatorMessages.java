package org.corianderweir.protocol;

import java.util.List;
import org.corianderweir.logic.delivery.DrainState;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.InstanceState;

/** The JSON messages of the operators' interface. */
public final class OperatorMessages {
  private OperatorMessages() {}

  /**
   * The state of an entry instance.
   *
   * @param name name of the instance
   * @param state its state
   * @param revision configuration revision in force there
   * @param instancesAlive entry instances that it hears, itself too
   */
  public record Status(String name, InstanceState state, long revision, int instancesAlive) {}

  /**
   * The entry instances that are alive.
   *
   * @param members the instances
   */
  public record Instances(List<Member> members) {}

  /**
   * Events of one process.
   *
   * @param events the events, oldest first
   */
  public record Timeline(List<TimelineEvent> events) {}

  /**
   * A meter's reading.
   *
   * @param name name of the meter
   * @param count events counted since the start
   * @param perSecond moving average over one minute
   */
  public record MeterValue(String name, long count, double perSecond) {}

  /**
   * All meters.
   *
   * @param meters the readings
   */
  public record Meters(List<MeterValue> meters) {}

  /**
   * The latest changes of the configuration.
   *
   * @param changes the changes, the last one first
   */
  public record History(List<AcceptedChange> changes) {}

  /**
   * A change was accepted.
   *
   * @param revision revision that it made
   */
  public record Accepted(long revision) {}

  /**
   * A key was issued; this is the only time that it is shown.
   *
   * @param revision revision that put it in force
   * @param key text that the caller shows
   */
  public record KeyIssued(long revision, String key) {}

  /**
   * An operation failed.
   *
   * @param code code of the error
   * @param message what happened
   */
  public record Failure(String code, String message) {}

  /**
   * The backend servers that are leaving, as one entry instance sees them.
   *
   * @param drains the drains
   */
  public record Drains(List<DrainState> drains) {}
}
