package org.corianderweir.protocol.operator;

import java.util.Optional;

/** Messages for explaining how a sample request would be steered. */
public final class ExplainMessages {
  private ExplainMessages() {}

  /**
   * A sample request.
   *
   * @param path path of the request
   * @param organisation organisation that the key of the request belongs to; empty if the request
   *     has no key
   */
  public record SampleRequest(String path, Optional<String> organisation) {}

  /**
   * A sample request with its access key.
   *
   * @param key access key of the request; empty if it has none
   */
  public record ExplainedRequest(RequestSample sample, Optional<String> key) {}
}
