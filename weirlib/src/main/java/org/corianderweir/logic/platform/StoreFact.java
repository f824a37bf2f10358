package org.corianderweir.logic.platform;

import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.ServerEntry;
import org.corianderweir.model.traffic.TrafficConfiguration;

/** The meaning of an item in the store. */
public sealed interface StoreFact {
  /** The configuration that the operators want in force. */
  record ConfigurationFact(TrafficConfiguration configuration) implements StoreFact {}

  /** A backend server. */
  record ServerFact(ServerEntry server) implements StoreFact {}

  /** Nothing more may be sent to the servers of a zone. */
  record EvacuationFact(String zone) implements StoreFact {}

  /** An entry instance. */
  record MemberFact(FleetMember member) implements StoreFact {}

  /** The secret that entry instances prove to each other. */
  record PeerSecretFact(String secret) implements StoreFact {}

  /** An item that can't be read; it says nothing. */
  record Unreadable(String key, String reason) implements StoreFact {}

  /** An item that is of no concern here. */
  record Foreign() implements StoreFact {}
}
