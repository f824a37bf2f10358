package org.corianderweir.coordination;

import org.corianderweir.protocol.operator.ConfigurationMessages;
import org.corianderweir.protocol.operator.Operation;

/** The operation that returns in which availability zones a revision is in force. */
public final class InForceOperation {
  /** Returns where a revision is in force. */
  public static final Operation<ConfigurationMessages.RevisionRequest, InForceReport> IN_FORCE =
      new Operation<>(
          "GET", "/in-force", ConfigurationMessages.RevisionRequest.class, InForceReport.class);

  private InForceOperation() {}
}
