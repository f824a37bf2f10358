package org.corianderweir.logic.configuration;

import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.Configuration;

/** A change that an operator asks for. */
public sealed interface ConfigurationChange
    permits ConfigurationChange.Replace,
        ConfigurationChange.AddKey,
        ConfigurationChange.WithdrawKey,
        ConfigurationChange.SetDrained,
        ClientBlockChange,
        OrganisationChange,
        SteeringChange {
  /**
   * Replaces everything.
   *
   * @param configuration the new content; its revision and operation are ignored
   */
  record Replace(Configuration configuration) implements ConfigurationChange {}

  /**
   * Puts a key in force.
   *
   * @param key the key without its secret
   */
  record AddKey(AccessKey key) implements ConfigurationChange {}

  /**
   * Withdraws a key.
   *
   * @param identifier public part of the key
   */
  record WithdrawKey(String identifier) implements ConfigurationChange {}

  /**
   * Starts or ends the drain of a backend server.
   *
   * @param server name of the server
   * @param drained whether it gets no new requests
   */
  record SetDrained(String server, boolean drained) implements ConfigurationChange {}
}
