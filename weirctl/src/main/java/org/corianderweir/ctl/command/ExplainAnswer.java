package org.corianderweir.ctl.command;

import org.corianderweir.logic.traffic.RequestExplanation;

/** What an entry instance answers when it is asked to explain a request. */
sealed interface ExplainAnswer {
  /** It explains the request. */
  record Explained(RequestExplanation explanation) implements ExplainAnswer {}

  /** It says that the request is not well-formed. */
  record BadInput(String message) implements ExplainAnswer {}

  /** It does not answer. */
  record None(String message) implements ExplainAnswer {}

  /** Its answer is not an explanation. */
  record Unusable(String message) implements ExplainAnswer {}
}
