package org.corianderweir.logic.traffic;

import java.util.List;

/**
 * The head of an answer, as far as it tells whose answer it is. Fields that occur several times
 * have several values.
 *
 * @param status status code
 * @param requestIdentifiers identifiers of the request that is answered
 * @param notRunMarks marks by which a server says that it did not run the request
 * @param serverStamps signatures of the server's answer
 * @param contentEncodings encodings of the body
 */
public record AnswerEvidence(
    int status,
    List<String> requestIdentifiers,
    List<String> notRunMarks,
    List<String> serverStamps,
    List<String> contentEncodings) {
  /** Copies the lists. */
  public AnswerEvidence {
    requestIdentifiers = List.copyOf(requestIdentifiers);
    notRunMarks = List.copyOf(notRunMarks);
    serverStamps = List.copyOf(serverStamps);
    contentEncodings = List.copyOf(contentEncodings);
  }
}
