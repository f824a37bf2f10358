package org.corianderweir.daemon.operator;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.logic.configuration.ConfigurationChange;
import org.corianderweir.logic.delivery.DrainState;
import org.corianderweir.logic.keys.KeyHasher;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;

/** Listens for operators on an address of its own, with a credential of its own. */
public final class OperatorService implements Service {
  /** The name of this service. */
  public static final ServiceName<OperatorService> NAME =
      new ServiceName<>("operators", OperatorService.class);

  /** The header field of the credential. */
  public static final String CREDENTIAL_HEADER = "Weir-Operator-Credential";

  private static final int BODY_LIMIT_BYTES = 1024 * 1024;
  private static final int WORKER_THREADS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORISED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;

  private final DaemonSettings settings;
  private final ConfigurationService configuration;
  private final MembershipService membership;
  private final EventLog events;
  private final MetricRegistry metrics;
  private final Supplier<List<DrainState>> drains;
  private final Runnable planStop;
  private final ControlReports reports;
  private final SecureRandom random = new SecureRandom();
  private final HttpListener listener;

  /**
   * Creates the service; it does not listen yet.
   *
   * @param drains backend servers that are leaving
   * @param planStop begins a planned stop of the process
   */
  public OperatorService(
      DaemonSettings settings,
      ConfigurationService configuration,
      MembershipService membership,
      EventLog events,
      MetricRegistry metrics,
      Supplier<List<DrainState>> drains,
      Runnable planStop) {
    this.settings = settings;
    this.configuration = configuration;
    this.membership = membership;
    this.events = events;
    this.metrics = metrics;
    this.drains = drains;
    this.planStop = planStop;
    reports = new ControlReports(configuration, membership);
    listener =
        new HttpListener(
            new HttpListenerOptions(
                "operators",
                settings.instance().host(),
                settings.instance().operatorPort(),
                BODY_LIMIT_BYTES,
                WORKER_THREADS),
            this::handle);
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(MembershipService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    listener.start();
  }

  @Override
  public void stop() {
    listener.stop(0);
  }

  private CompletableFuture<HttpReply> handle(HttpCall call) {
    String shown = call.headers().first(CREDENTIAL_HEADER).orElse("");
    boolean known =
        MessageDigest.isEqual(
            shown.getBytes(StandardCharsets.UTF_8),
            settings.operatorCredential().getBytes(StandardCharsets.UTF_8));
    if (!known) {
      return done(error(STATUS_UNAUTHORISED, "credential-rejected", "wrong credential"));
    }
    try {
      return route(call).exceptionally(OperatorService::failureReply);
    } catch (WeirException failure) {
      return done(failureReply(failure));
    }
  }

  private CompletableFuture<HttpReply> route(HttpCall call) {
    return switch (call.method() + " " + call.path()) {
      case "GET /status" -> done(json(status()));
      case "GET /instances" -> done(json(new OperatorMessages.Instances(membership.members())));
      case "GET /configuration" -> done(json(configuration.inForce()));
      case "GET /drains" -> done(json(new OperatorMessages.Drains(drains.get())));
      case "GET /timeline" -> done(json(new OperatorMessages.Timeline(events.events())));
      case "GET /metrics" -> done(json(meters()));
      case "PUT /configuration" -> replace(call);
      case "POST /keys/issue" -> issueKey(call);
      case "POST /keys/withdraw" ->
          change(call, new ConfigurationChange.WithdrawKey(call.parameter("identifier", "")));
      case "POST /drain" ->
          change(call, new ConfigurationChange.SetDrained(call.parameter("server", ""), true));
      case "POST /undrain" ->
          change(call, new ConfigurationChange.SetDrained(call.parameter("server", ""), false));
      case "POST /stop" -> stopInstance();
      case "GET /in-force" -> reports.inForce(call);
      case "GET /configuration/history" -> reports.history();
      case "GET /configuration/difference" -> reports.difference(call);
      default -> done(error(STATUS_NOT_FOUND, "not-found", "no such operation"));
    };
  }

  private OperatorMessages.Status status() {
    Configuration current = configuration.inForce();
    return new OperatorMessages.Status(
        settings.instance().name(),
        membership.state(),
        current.revision(),
        membership.members().size());
  }

  private OperatorMessages.Meters meters() {
    List<OperatorMessages.MeterValue> values =
        metrics.getMeters().entrySet().stream().map(OperatorService::meterValue).toList();
    return new OperatorMessages.Meters(values);
  }

  private static OperatorMessages.MeterValue meterValue(Map.Entry<String, Meter> entry) {
    return new OperatorMessages.MeterValue(
        entry.getKey(), entry.getValue().getCount(), entry.getValue().getOneMinuteRate());
  }

  private CompletableFuture<HttpReply> replace(HttpCall call) {
    Configuration content = Json.read(call.bodyText(), Configuration.class);
    return change(call, new ConfigurationChange.Replace(content));
  }

  private CompletableFuture<HttpReply> issueKey(HttpCall call) {
    KeyHasher.IssuedKey issued =
        KeyHasher.issue(
            call.parameter("identifier", ""), call.parameter("organisation", ""), random);
    String operation = generatedOperation();
    return configuration
        .change(expectedRevision(call), new ConfigurationChange.AddKey(issued.stored()), operation)
        .thenApply(revision -> json(new OperatorMessages.KeyIssued(revision, issued.presented())));
  }

  private CompletableFuture<HttpReply> change(HttpCall call, ConfigurationChange change) {
    return apply(call, change).thenApply(revision -> json(new OperatorMessages.Accepted(revision)));
  }

  /**
   * An operator that names the operation can repeat it without making the change twice. Not so for
   * keys that are issued, because each has a new secret.
   */
  private CompletableFuture<Long> apply(HttpCall call, ConfigurationChange change) {
    long expected = expectedRevision(call);
    String operation = call.parameter("operation", generatedOperation());
    return configuration.change(expected, change, operation);
  }

  private String generatedOperation() {
    return settings.instance().name() + "/" + UUID.randomUUID();
  }

  private long expectedRevision(HttpCall call) {
    String text = call.parameter("expected-revision", "");
    if (text.isEmpty()) {
      return configuration.inForce().revision();
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException notANumber) {
      throw new WeirException(
          ErrorCode.CONFIGURATION_INVALID, "expected-revision is not a number: " + text);
    }
  }

  private CompletableFuture<HttpReply> stopInstance() {
    planStop.run();
    return done(json(new OperatorMessages.Accepted(configuration.inForce().revision())));
  }

  private static HttpReply failureReply(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof WeirException typed) {
      int status =
          switch (typed.code()) {
            case REVISION_CONFLICT -> STATUS_CONFLICT;
            case CONFIGURATION_INVALID, JSON_INVALID -> STATUS_BAD_REQUEST;
            default -> STATUS_UNAVAILABLE;
          };
      return error(status, typed.code().name(), String.valueOf(typed.getMessage()));
    }
    return error(STATUS_UNAVAILABLE, "internal-error", String.valueOf(cause));
  }

  private static HttpReply json(Object value) {
    return HttpReply.json(STATUS_OK, Json.write(value));
  }

  private static HttpReply error(int status, String code, String message) {
    return HttpReply.json(status, Json.write(new OperatorMessages.Failure(code, message)));
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
