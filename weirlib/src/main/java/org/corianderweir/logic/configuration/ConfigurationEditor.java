package org.corianderweir.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AccessKey;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;

/** Applies changes to a configuration. Pure functions. */
public final class ConfigurationEditor {
  private ConfigurationEditor() {}

  /**
   * Returns the configuration after a change, with the next revision number.
   *
   * @param operation identifier of the change
   * @throws WeirException with code {@code CONFIGURATION_INVALID} if the change refers to an item
   *     that does not exist or is not valid for the current configuration
   */
  public static Configuration apply(
      Configuration current, ConfigurationChange change, String operation) {
    Configuration.Builder changed =
        switch (change) {
          case ConfigurationChange.Replace replace -> replace.configuration().toBuilder();
          case ConfigurationChange.AddKey add -> current.toBuilder().keys(withKey(current, add));
          case ConfigurationChange.WithdrawKey withdraw ->
              current.toBuilder().keys(withoutKey(current, withdraw));
          case ConfigurationChange.SetDrained drain ->
              current.toBuilder().backendServers(withDrainState(current, drain));
          case ClientBlockChange blocks -> ClientBlockEditor.apply(current, blocks);
          case OrganisationChange organisation -> OrganisationEditor.apply(current, organisation);
          case SteeringChange steering -> SteeringEditor.apply(current, steering);
        };
    return changed.revision(current.revision() + 1).operation(operation).build();
  }

  private static List<AccessKey> withKey(Configuration current, ConfigurationChange.AddKey add) {
    List<AccessKey> keys = new ArrayList<>(current.keys());
    keys.add(add.key());
    return keys;
  }

  private static List<AccessKey> withoutKey(
      Configuration current, ConfigurationChange.WithdrawKey withdraw) {
    List<AccessKey> keys = new ArrayList<>(current.keys());
    if (!keys.removeIf(key -> key.identifier().equals(withdraw.identifier()))) {
      throw invalid("no key " + withdraw.identifier());
    }
    return keys;
  }

  private static List<BackendServer> withDrainState(
      Configuration current, ConfigurationChange.SetDrained drain) {
    boolean exists =
        current.backendServers().stream().anyMatch(server -> server.name().equals(drain.server()));
    if (!exists) {
      throw invalid("no backend server " + drain.server());
    }
    return current.backendServers().stream()
        .map(
            server ->
                server.name().equals(drain.server()) ? server.withDrained(drain.drained()) : server)
        .toList();
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
