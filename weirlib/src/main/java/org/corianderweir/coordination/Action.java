package org.corianderweir.coordination;

import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.PeerMessage;

/** What the process has to do for its {@link FleetNode}. */
public sealed interface Action {
  /**
   * Send a message; it may get lost.
   *
   * @param target receiver
   * @param message message
   */
  record Send(EntryInstance target, PeerMessage message) implements Action {}

  /** Read the list of entry instances from the platform's service. */
  record ReadInstanceList() implements Action {}

  /** Read the head of the configuration from the platform's service. */
  record ReadHead() implements Action {}

  /**
   * Load a configuration from the platform's service.
   *
   * @param head its head
   */
  record LoadConfiguration(ConfigurationHead head) implements Action {}

  /**
   * Put a configuration in force.
   *
   * @param bundle the configuration as it is stored and sent
   * @param configuration its content
   */
  record PutInForce(ConfigurationBundle bundle, Configuration configuration) implements Action {}

  /**
   * Record an event.
   *
   * @param code what happened
   * @param subject what it happened to
   * @param detail more for people
   */
  record RecordEvent(EventCode code, String subject, String detail) implements Action {}
}
