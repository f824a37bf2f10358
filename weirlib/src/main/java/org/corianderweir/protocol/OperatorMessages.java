package org.corianderweir.protocol;

import java.util.List;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.configuration.AcceptedChange;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.InstanceState;

/** General JSON messages of the operators' interface. */
public final class OperatorMessages {
  private OperatorMessages() {}

  /**
   * The state of an entry instance.
   *
   * @param name name of the instance
   * @param state state of the instance
   * @param revision configuration revision in force on the instance
   * @param instancesAlive number of entry instances that it considers alive, including itself
   */
  public record Status(String name, InstanceState state, long revision, int instancesAlive) {}

  /**
   * The entry instances that are alive as far as the answering instance knows.
   *
   * @param members the instances
   */
  public record Instances(List<Member> members) {}

  /**
   * The latest events of one process.
   *
   * @param events the events, oldest first
   */
  public record Timeline(List<TimelineEvent> events) {}

  /**
   * The value of a meter.
   *
   * @param name name of the meter
   * @param count number of events since the process started
   * @param perSecond moving average of the events per second over one minute
   */
  public record MeterValue(String name, long count, double perSecond) {}

  /**
   * The values of all meters of an entry instance.
   *
   * @param meters the values
   */
  public record Meters(List<MeterValue> meters) {}

  /**
   * The latest changes of the configuration.
   *
   * @param changes the changes, latest first
   */
  public record History(List<AcceptedChange> changes) {}

  /**
   * Confirms that a change was accepted.
   *
   * @param revision configuration revision that the change created
   */
  public record Accepted(long revision) {}

  /**
   * An issued key. The key is returned only in this message, because its secret is not stored.
   *
   * @param revision configuration revision that contains the key
   * @param key full text of the key, which callers send with their requests
   */
  public record KeyIssued(long revision, String key) {}

  /**
   * Reports that an operation failed.
   *
   * @param code error code
   * @param message description of the error
   */
  public record Failure(String code, String message) {}
}
