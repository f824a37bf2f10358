package org.corianderweir.daemon.traffic;

import java.util.List;
import java.util.Optional;
import org.corianderweir.http.HttpRequest;

/** Validates the header fields of a request that the entry instance itself interprets. */
final class RequestValidator {
  private static final int REQUEST_NAME_LIMIT_CHARACTERS = 512;
  private static final int DEADLINE_LIMIT_DIGITS = 9;
  private static final List<String> SINGLE_VALUE_HEADERS =
      List.of(
          CallerHeaders.KEY,
          CallerHeaders.REQUEST,
          CallerHeaders.DEADLINE_MILLISECONDS,
          CallerHeaders.FORWARDED_BY);

  private RequestValidator() {}

  /** Returns a description of the first problem of a request, or empty if the request is valid. */
  static Optional<String> findProblem(HttpRequest request) {
    for (String name : SINGLE_VALUE_HEADERS) {
      if (request.headers().count(name) > 1) {
        return Optional.of(name + " is there more than once");
      }
    }
    Optional<String> deadline = request.headers().first(CallerHeaders.DEADLINE_MILLISECONDS);
    if (deadline.isPresent() && !isNumber(deadline.get())) {
      return Optional.of("the deadline is not a number of milliseconds");
    }
    Optional<String> requestName = request.headers().first(CallerHeaders.REQUEST);
    if (requestName.isPresent() && !isName(requestName.get())) {
      return Optional.of(CallerHeaders.REQUEST + " must be 1 to 512 visible ASCII characters");
    }
    return Optional.empty();
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() <= DEADLINE_LIMIT_DIGITS
        && text.chars().allMatch(character -> character >= '0' && character <= '9');
  }

  private static boolean isName(String text) {
    return !text.isEmpty()
        && text.length() <= REQUEST_NAME_LIMIT_CHARACTERS
        && text.chars().allMatch(character -> character > ' ' && character < 127);
  }
}
