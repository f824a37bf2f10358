package org.corianderweir.protocol.operator;

import java.util.Optional;

/** Messages about the explanation of a sample request. */
public final class ExplainMessages {
  private ExplainMessages() {}

  /**
   * A sample request.
   *
   * @param path its path
   * @param organisation organisation of its key; absent if it shows none
   */
  public record SampleRequest(String path, Optional<String> organisation) {}
}
