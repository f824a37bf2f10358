package org.corianderweir.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.steering.SteeringService;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;

/** Listens for operators on a separate port and authenticates them by the operator credential. */
public final class OperatorService implements Service {
  /** The name of this service. */
  public static final ServiceName<OperatorService> NAME =
      new ServiceName<>("operators", OperatorService.class);

  /** Name of the header field that carries the credential. */
  public static final String CREDENTIAL_HEADER = Operation.CREDENTIAL_HEADER;

  private static final int BODY_LIMIT_BYTES = 1024 * 1024;
  private static final int WORKER_THREADS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORISED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;

  private final OperatorContext context;
  private final RouteTable routes;
  private final HttpListener listener;

  /** Creates the service; it does not listen yet. */
  public OperatorService(OperatorContext context) {
    this.context = context;
    OperatorChangeHandler changeHandler = new OperatorChangeHandler(context);
    routes = new RouteTable(changeHandler);
    new InstanceOperations(context).register(routes);
    new ConfigurationOperations(context).register(routes);
    new LabelOperations(context).register(routes);
    new SelectorOperations(context, changeHandler).register(routes);
    new OrganisationOperations(context).register(routes);
    new ClientBlockOperations(context).register(routes);
    new KeyOperations(context, changeHandler).register(routes);
    new DrainOperations(context).register(routes);
    new ShiftOperations(context).register(routes);
    listener =
        new HttpListener(
            new HttpListenerOptions(
                "operators",
                context.settings().instance().host(),
                context.settings().instance().operatorPort(),
                BODY_LIMIT_BYTES,
                WORKER_THREADS),
            this::handle);
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(MembershipService.NAME, SteeringService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    listener.start();
  }

  @Override
  public void stop() {
    listener.stop(0);
  }

  CompletableFuture<HttpResponse> handle(HttpRequest request) {
    String presentedCredential = request.headers().first(CREDENTIAL_HEADER).orElse("");
    boolean authenticated =
        MessageDigest.isEqual(
            presentedCredential.getBytes(StandardCharsets.UTF_8),
            context.settings().operatorCredential().getBytes(StandardCharsets.UTF_8));
    if (!authenticated) {
      return completed(error(STATUS_UNAUTHORISED, "credential-rejected", "wrong credential"));
    }
    Optional<RouteTable.Handler> handler = routes.find(request);
    if (handler.isEmpty()) {
      return completed(error(STATUS_NOT_FOUND, "not-found", "no such operation"));
    }
    try {
      return handler
          .get()
          .handle(request)
          .<HttpResponse>thenApply(result -> HttpResponse.json(STATUS_OK, Json.write(result)))
          .exceptionally(OperatorService::failureResponse);
    } catch (WeirException failure) {
      return completed(failureResponse(failure));
    }
  }

  private static HttpResponse failureResponse(Throwable failure) {
    Throwable cause = WeirException.unwrap(failure);
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

  private static HttpResponse error(int status, String code, String message) {
    return HttpResponse.json(status, Json.write(new OperatorMessages.Failure(code, message)));
  }

  private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
