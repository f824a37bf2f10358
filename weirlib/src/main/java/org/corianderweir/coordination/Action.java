package org.corianderweir.coordination;

import org.corianderweir.logic.configuration.ConfigurationBundle;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.ConfigurationHead;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.PeerMessage;

/** An action that the process must perform for its {@link FleetNode}. */
public sealed interface Action {
  /**
   * Sends a message, which may be lost.
   *
   * @param target receiver
   * @param message message
   */
  record Send(EntryInstance target, PeerMessage message) implements Action {}

  /** Reads the list of entry instances from the platform's store. */
  record ReadInstanceList() implements Action {}

  /** Reads the head of the configuration from the platform's store. */
  record ReadHead() implements Action {}

  /**
   * Loads a configuration from the platform's store.
   *
   * @param head head of the configuration
   */
  record LoadConfiguration(ConfigurationHead head) implements Action {}

  /**
   * Puts a configuration in force.
   *
   * @param bundle the configuration as it is stored and sent
   * @param configuration its content
   */
  record PutInForce(ConfigurationBundle bundle, Configuration configuration) implements Action {}

  /**
   * Records an event.
   *
   * @param code what happened
   * @param subject what it happened to
   * @param detail further information for operators
   */
  record RecordEvent(EventCode code, String subject, String detail) implements Action {}
}
