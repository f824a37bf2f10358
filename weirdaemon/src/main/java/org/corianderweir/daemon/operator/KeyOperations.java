package org.corianderweir.daemon.operator;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.keys.KeyHasher;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.KeyMessages;
import org.corianderweir.protocol.operator.Operations;

/**
 * Operations on keys. Issuing a key is not idempotent, not even under the same operation
 * identifier, because each key gets a new secret. Secrets and hashes leave this process only in the
 * response to the request that issues the key.
 */
final class KeyOperations {
  private final OperatorContext context;
  private final OperatorChangeHandler changeHandler;
  private final SecureRandom random = new SecureRandom();

  KeyOperations(OperatorContext context, OperatorChangeHandler changeHandler) {
    this.context = context;
    this.changeHandler = changeHandler;
  }

  void register(RouteTable routes) {
    routes.read(Operations.KEYS, none -> keys());
    routes.write(Operations.ISSUE_KEY, this::issue);
    routes.change(
        Operations.WITHDRAW_KEY,
        (request, current, wallMilliseconds, options) ->
            new ConfigurationChange.WithdrawKey(request.identifier()));
  }

  private KeyMessages.Keys keys() {
    return new KeyMessages.Keys(
        context.configuration().inForce().keys().stream()
            .map(key -> new KeyMessages.KeyView(key.identifier(), key.organisation()))
            .toList());
  }

  private CompletableFuture<OperatorMessages.KeyIssued> issue(
      KeyMessages.IssueKey request, WriteOptions options) {
    Configuration current = context.configuration().inForce();
    if (options.dryRun()) {
      throw invalid("issuing a key moves no traffic, so it has no dry run");
    }
    if (current.organisations().stream()
        .noneMatch(listed -> listed.name().equals(request.organisation()))) {
      throw invalid("no organisation " + request.organisation());
    }
    if (current.keys().stream().anyMatch(key -> key.identifier().equals(request.identifier()))) {
      throw invalid("a key " + request.identifier() + " is in force already");
    }
    KeyHasher.IssuedKey issued =
        KeyHasher.issue(request.identifier(), request.organisation(), random);
    return changeHandler
        .apply(new ConfigurationChange.AddKey(issued.stored()), options.withoutOperation())
        .thenApply(revision -> new OperatorMessages.KeyIssued(revision, issued.presented()));
  }

  private static WeirException invalid(String message) {
    return new WeirException(ErrorCode.CONFIGURATION_INVALID, message);
  }
}
