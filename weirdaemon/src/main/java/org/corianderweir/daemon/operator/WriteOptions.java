package org.corianderweir.daemon.operator;

import java.util.Optional;
import java.util.OptionalLong;
import org.corianderweir.http.HttpCall;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.operator.Operation;

/**
 * How a change is to be made.
 *
 * @param expectedRevision revision that it is based on; absent means the one in force here
 * @param operation name of the change, by which it can be repeated without being made twice
 * @param dryRun whether only to say what it would do
 * @param keepKeys whether a replacement keeps the keys in force
 */
record WriteOptions(
    OptionalLong expectedRevision, Optional<String> operation, boolean dryRun, boolean keepKeys) {

  static WriteOptions of(HttpCall call) {
    return new WriteOptions(
        expectedRevision(call),
        Optional.of(call.parameter(Operation.OPERATION, "")).filter(name -> !name.isEmpty()),
        flag(call, Operation.DRY_RUN),
        flag(call, Operation.KEEP_KEYS));
  }

  WriteOptions withoutOperation() {
    return new WriteOptions(expectedRevision, Optional.empty(), dryRun, keepKeys);
  }

  private static boolean flag(HttpCall call, String name) {
    return Boolean.parseBoolean(call.parameter(name, "false"));
  }

  private static OptionalLong expectedRevision(HttpCall call) {
    String text = call.parameter(Operation.EXPECTED_REVISION, "");
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text));
    } catch (NumberFormatException notNumeric) {
      throw new WeirException(
          ErrorCode.CONFIGURATION_INVALID,
          Operation.EXPECTED_REVISION + " is not a number: " + text);
    }
  }
}
