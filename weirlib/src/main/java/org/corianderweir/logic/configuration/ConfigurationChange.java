package org.corianderweir.logic.configuration;

import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.Configuration;

/** A change of the configuration that an operator requests. */
public sealed interface ConfigurationChange
    permits ConfigurationChange.Replace,
        ConfigurationChange.AddKey,
        ConfigurationChange.WithdrawKey,
        ConfigurationChange.SetDrained,
        ClientBlockChange,
        OrganisationChange,
        SteeringChange {
  /**
   * Replaces the whole configuration.
   *
   * @param configuration the new configuration; its revision and operation are ignored
   */
  record Replace(Configuration configuration) implements ConfigurationChange {}

  /**
   * Adds an access key.
   *
   * @param key the key without its secret
   */
  record AddKey(AccessKey key) implements ConfigurationChange {}

  /**
   * Withdraws an access key.
   *
   * @param identifier public part of the key
   */
  record WithdrawKey(String identifier) implements ConfigurationChange {}

  /**
   * Starts or ends the drain of a backend server.
   *
   * @param server name of the server
   * @param drained whether the server is drained, so that it gets no new requests
   */
  record SetDrained(String server, boolean drained) implements ConfigurationChange {}
}
