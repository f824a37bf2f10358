package org.corianderweir.daemon.operator;

import java.util.Optional;
import java.util.OptionalLong;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.operator.Operation;

/**
 * The options of a request that changes the configuration.
 *
 * @param expectedRevision revision that the change is based on; empty means the one in force here
 * @param operation identifier that makes the change idempotent; empty if the operator gave none
 * @param dryRun whether only to report what the change would do
 * @param keepKeys whether replacing the whole configuration keeps the keys in force
 */
record WriteOptions(
    OptionalLong expectedRevision, Optional<String> operation, boolean dryRun, boolean keepKeys) {

  static WriteOptions of(HttpRequest request) {
    return new WriteOptions(
        expectedRevision(request),
        Optional.of(request.parameter(Operation.OPERATION_IDENTIFIER_PARAMETER, ""))
            .filter(name -> !name.isEmpty()),
        flag(request, Operation.DRY_RUN_PARAMETER),
        flag(request, Operation.KEEP_KEYS_PARAMETER));
  }

  WriteOptions withoutOperation() {
    return new WriteOptions(expectedRevision, Optional.empty(), dryRun, keepKeys);
  }

  private static boolean flag(HttpRequest request, String name) {
    return Boolean.parseBoolean(request.parameter(name, "false"));
  }

  private static OptionalLong expectedRevision(HttpRequest request) {
    String text = request.parameter(Operation.EXPECTED_REVISION_PARAMETER, "");
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException notNumeric) {
      throw new WeirException(
          ErrorCode.CONFIGURATION_INVALID,
          Operation.EXPECTED_REVISION_PARAMETER + " is not a number: " + text);
    }
  }
}
