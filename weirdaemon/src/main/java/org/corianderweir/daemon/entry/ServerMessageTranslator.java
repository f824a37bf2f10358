package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import org.corianderweir.http.HopByHopHeaders;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.AnswerEvidence;
import org.corianderweir.logic.traffic.AnswerJudge;
import org.corianderweir.logic.traffic.AnswerVerdict;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.model.traffic.HeaderNames;
import org.corianderweir.model.traffic.ServerRegistration;

/** Translates requests of callers for backend servers, and answers of servers for callers. */
final class ServerMessageTranslator {
  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECTION_STATUS = 300;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String LEAVING_MARK = "1";
  private static final String RETRY_AFTER = "Retry-After";
  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,18}(\\.[0-9]{1,18})?");
  private static final Pattern FIGURE = Pattern.compile("[0-9]{1,18}");
  private static final int LOAD_FIGURE_COUNT = 4;
  private static final double LONGEST_PAUSE_SECONDS = 86_400;
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final String CONTENT_ENCODING = "Content-Encoding";

  private final HeaderNames names;
  private final Set<String> internalFields;

  ServerMessageTranslator(HeaderNames names) {
    this.names = names;
    internalFields =
        Set.of(
            names.accessKey().toLowerCase(Locale.ROOT),
            names.organisation().toLowerCase(Locale.ROOT),
            names.expectedServer().toLowerCase(Locale.ROOT),
            names.deadlineMilliseconds().toLowerCase(Locale.ROOT));
  }

  /** Reads the attributes of a request. */
  RequestAttributes attributes(HttpRequest request, Duration queueTime) {
    HttpHeaders headers = request.headers();
    return new RequestAttributes(
        headers.first(names.requestIdentifier()).orElse(""),
        headers.first("Host").orElse(""),
        request.path(),
        headers.first(names.accessKey()),
        headers.first(names.affinity()),
        parseNumber(headers.first(names.deadlineMilliseconds())),
        queueTime);
  }

  /** Returns the length that a request gives for its body, or 0 if it gives none. */
  long bodyLength(HttpRequest request) {
    return parseNumber(request.headers().first("Content-Length")).orElse(0);
  }

  /** Returns the request in the form that is sent to a server. */
  HttpRequest forServer(
      HttpRequest callerRequest,
      AdmittedRequest request,
      ServerRegistration server,
      Duration timeLeft) {
    HttpHeaders headers = HopByHopHeaders.strip(callerRequest.headers()).without(internalFields);
    headers =
        headers
            .with("Host", request.attributes().host())
            .with(names.deadlineMilliseconds(), Long.toString(timeLeft.toMillis()))
            .with(names.expectedServer(), server.identifier());
    if (request.organisation().isPresent()) {
      headers = headers.with(names.organisation(), request.organisation().get().name());
    }
    return new HttpRequest(
        callerRequest.method(),
        callerRequest.target(),
        headers,
        callerRequest.body(),
        callerRequest.memory());
  }

  /** Returns a server's answer in the form that is sent to the caller. */
  HttpResponse forCaller(HttpResponse response) {
    return new HttpResponse(
        response.status(),
        HopByHopHeaders.strip(response.headers())
            .without(Set.of(names.serverLeaving().toLowerCase(Locale.ROOT))),
        response.body());
  }

  /** Returns the outcome of a send of the request with an identifier. */
  SendOutcome outcome(HttpResponse response, String requestIdentifier) {
    HttpHeaders headers = response.headers();
    SendOutcome.ServerReport report =
        new SendOutcome.ServerReport(
            parseLoad(headers.all(names.serverLoad())),
            parseNumber(headers.first(names.coldMilliseconds())),
            headers.all(names.serverLeaving()).equals(List.of(LEAVING_MARK)),
            response.status() == STATUS_UNAVAILABLE
                ? pause(headers.all(RETRY_AFTER))
                : Duration.ZERO);
    AnswerEvidence evidence =
        new AnswerEvidence(
            response.status(),
            headers.all(names.requestIdentifier()),
            headers.all(names.notRun()),
            headers.all(names.serverStamp()),
            headers.all(CONTENT_ENCODING));
    return switch (AnswerJudge.judge(evidence, requestIdentifier)) {
      case AnswerVerdict.NotRun notRun -> new SendOutcome.NotRun(notRun.misdirected(), report);
      case AnswerVerdict.Answered unused ->
          new SendOutcome.Answered(
              isSuccess(response.status()), response.status() >= FIRST_SERVER_ERROR_STATUS, report);
      case AnswerVerdict.Lost lost -> new SendOutcome.Lost(lost.reason());
      case AnswerVerdict.Foreign unused -> new SendOutcome.Lost("an answer to another request");
    };
  }

  /**
   * Returns the pause that a server asks for. Only one field with a number of seconds counts, with
   * or without a fraction; other texts, negative numbers and doubled fields ask for none.
   */
  private static Duration pause(List<String> values) {
    if (values.size() != 1 || !SECONDS.matcher(values.getFirst().trim()).matches()) {
      return Duration.ZERO;
    }
    double seconds = Double.parseDouble(values.getFirst().trim());
    return Duration.ofMillis(
        Math.round(Math.min(seconds, LONGEST_PAUSE_SECONDS) * MILLISECONDS_PER_SECOND));
  }

  private static boolean isSuccess(int status) {
    return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;
  }

  /**
   * Returns the load in a list of running, waiting, slots and speed. Each figure counts by itself;
   * of doubled fields and of longer lists none does, since the meaning of their figures is unknown.
   */
  private static ServerLoad parseLoad(List<String> values) {
    String[] figures =
        values.size() == 1 ? values.getFirst().split(",", LOAD_FIGURE_COUNT + 1) : new String[0];
    return figures.length > LOAD_FIGURE_COUNT
        ? ServerLoad.NONE
        : ServerLoad.of(
            parseFigure(figures, 0),
            parseFigure(figures, 1),
            parseFigure(figures, 2),
            parseFigure(figures, LOAD_FIGURE_COUNT - 1));
  }

  private static OptionalLong parseFigure(String[] figures, int index) {
    return index < figures.length && FIGURE.matcher(figures[index].trim()).matches()
        ? OptionalLong.of(Long.parseLong(figures[index].trim()))
        : OptionalLong.empty();
  }

  private static OptionalLong parseNumber(Optional<String> text) {
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(text.get().trim()));
    } catch (NumberFormatException failure) {
      return OptionalLong.empty();
    }
  }
}
