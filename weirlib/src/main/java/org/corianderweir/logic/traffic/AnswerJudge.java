package org.corianderweir.logic.traffic;

import java.util.List;
import java.util.Set;

/**
 * Decides what an answer proves. A faulty server may send copies of earlier answers, cut off or in
 * front of the real one, so that a head holds parts of both. Only a head whose parts all agree
 * proves that a request has run or has not; of a contradiction nothing is believed.
 */
public final class AnswerJudge {
  private static final String NOT_RUN_MARK = "1";
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_REQUEST_TIMEOUT = 408;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECTION_STATUS = 300;

  /** Statuses by which a server may say that it did not run a request. */
  private static final Set<Integer> REJECTIONS =
      Set.of(STATUS_BAD_REQUEST, STATUS_MISDIRECTED, STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE);

  /** Statuses that promise callers that their request has not run. */
  private static final Set<Integer> PROMISES =
      Set.of(
          STATUS_REQUEST_TIMEOUT, STATUS_MISDIRECTED, STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE);

  private AnswerJudge() {}

  /** Returns what an answer proves about the request with an identifier. */
  public static AnswerVerdict judge(AnswerEvidence evidence, String requestIdentifier) {
    List<String> identifiers = evidence.requestIdentifiers();
    if (identifiers.size() > 1) {
      return new AnswerVerdict.Lost("several request identifiers");
    }
    if (!identifiers.isEmpty() && !identifiers.getFirst().equals(requestIdentifier)) {
      return new AnswerVerdict.Foreign();
    }
    if (identifiers.isEmpty() && !requestIdentifier.isEmpty()) {
      return new AnswerVerdict.Lost("no request identifier");
    }
    return evidence.serverStamps().isEmpty() ? judgeUnstamped(evidence) : judgeStamped(evidence);
  }

  /** A rejection bears no stamp, since the server has not worked on the request. */
  private static AnswerVerdict judgeUnstamped(AnswerEvidence evidence) {
    boolean misdirected = evidence.status() == STATUS_MISDIRECTED;
    boolean marked = evidence.notRunMarks().equals(List.of(NOT_RUN_MARK));
    boolean unmarked = evidence.notRunMarks().isEmpty();
    if (REJECTIONS.contains(evidence.status()) && (marked || (misdirected && unmarked))) {
      return new AnswerVerdict.NotRun(misdirected);
    }
    return new AnswerVerdict.Lost(unmarked ? "no stamp" : "a mark that proves nothing");
  }

  private static AnswerVerdict judgeStamped(AnswerEvidence evidence) {
    if (!evidence.notRunMarks().isEmpty() || evidence.serverStamps().size() > 1) {
      return new AnswerVerdict.Lost("a stamp that contradicts another field");
    }
    if (PROMISES.contains(evidence.status())) {
      return new AnswerVerdict.Lost("a stamp with a status that denies the run");
    }
    boolean success =
        evidence.status() >= FIRST_SUCCESS_STATUS && evidence.status() < FIRST_REDIRECTION_STATUS;
    if (success && !evidence.contentEncodings().isEmpty()) {
      return new AnswerVerdict.Lost("the body is encoded");
    }
    return new AnswerVerdict.Answered();
  }
}
