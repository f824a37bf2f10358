package org.corianderweir.daemon.platform;

import com.codahale.metrics.Meter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.platform.LeaseResult;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.platform.StoredValue;
import org.corianderweir.model.platform.WriteResult;
import org.corianderweir.protocol.Json;

/** A client of the platform's service over its HTTP protocol (docs/PLATFORM.md). */
public final class HttpPlatformService implements PlatformService {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONFLICT = 409;

  private final HttpClient client;
  private final HttpAddress address;
  private final Meter requests;

  private record Version(long version) {}

  private record Token(long token) {}

  private record Holder(String holder) {}

  private record InstanceList(List<ListedInstance> instances) {}

  /**
   * Creates a client of the service at an address.
   *
   * @param requests counts the requests to the service; a watch counts as one
   */
  public HttpPlatformService(HttpClient client, HttpAddress address, Meter requests) {
    this.client = client;
    this.address = address;
    this.requests = requests;
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> read(String key) {
    return readTarget(target(key), REQUEST_TIMEOUT);
  }

  @Override
  public CompletableFuture<Optional<StoredValue>> watch(
      String key, long knownVersion, Duration maximumWait) {
    String query = "?newer-than=" + knownVersion + "&wait-milliseconds=" + maximumWait.toMillis();
    return readTarget(target(key) + query, maximumWait.plus(REQUEST_TIMEOUT));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedVersion, String value) {
    HttpRequest request =
        new HttpRequest(
            "PUT",
            target(key) + "?expected-version=" + expectedVersion,
            HttpHeaders.NONE,
            value.getBytes(StandardCharsets.UTF_8));
    return exchange(request, REQUEST_TIMEOUT).thenApply(this::writeResult);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
    HttpRequest request =
        HttpRequest.of("DELETE", target(key) + "?expected-version=" + expectedVersion);
    return exchange(request, REQUEST_TIMEOUT).thenApply(this::writeResult);
  }

  @Override
  public CompletableFuture<LeaseResult> acquireLease(
      String name, String holder, Duration duration) {
    String query = "&milliseconds=" + duration.toMillis();
    HttpRequest request = HttpRequest.of("POST", leaseTarget(name, holder) + query);
    return exchange(request, REQUEST_TIMEOUT)
        .thenApply(
            response ->
                response.status() == STATUS_CONFLICT
                    ? new LeaseResult.HeldByOther(
                        Json.read(response.bodyText(), Holder.class).holder())
                    : new LeaseResult.Granted(
                        Json.read(requireOkBody(response), Token.class).token()));
  }

  @Override
  public CompletableFuture<Void> releaseLease(String name, String holder) {
    return exchange(HttpRequest.of("DELETE", leaseTarget(name, holder)), REQUEST_TIMEOUT)
        .thenAccept(HttpPlatformService::requireOkBody);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> listInstances() {
    return exchange(HttpRequest.of("GET", "/instances"), REQUEST_TIMEOUT)
        .thenApply(response -> Json.read(requireOkBody(response), InstanceList.class).instances());
  }

  private CompletableFuture<Optional<StoredValue>> readTarget(String target, Duration timeout) {
    return exchange(HttpRequest.of("GET", target), timeout)
        .thenApply(
            response ->
                response.status() == STATUS_NOT_FOUND
                    ? Optional.empty()
                    : Optional.of(Json.read(requireOkBody(response), StoredValue.class)));
  }

  private CompletableFuture<HttpResponse> exchange(HttpRequest request, Duration timeout) {
    requests.mark();
    return client.exchange(address, request, timeout).exceptionallyCompose(this::mapFailure);
  }

  /** If the connection could not be opened, the service certainly did not perform the request. */
  private CompletableFuture<HttpResponse> mapFailure(Throwable failure) {
    Throwable cause = WeirException.unwrap(failure);
    boolean notSent = cause instanceof WeirException weirException && isNotSent(weirException);
    return CompletableFuture.failedFuture(
        notSent
            ? new WeirException(
                ErrorCode.PLATFORM_UNAVAILABLE, "the platform is unreachable", cause)
            : cause);
  }

  private static boolean isNotSent(WeirException failure) {
    return failure.code() == ErrorCode.CONNECT_FAILED;
  }

  private WriteResult writeResult(HttpResponse response) {
    if (response.status() == STATUS_CONFLICT) {
      return new WriteResult.Conflict(Json.read(response.bodyText(), Version.class).version());
    }
    return new WriteResult.Written(Json.read(requireOkBody(response), Version.class).version());
  }

  private static String requireOkBody(HttpResponse response) {
    if (response.status() != STATUS_OK) {
      throw new WeirException(
          ErrorCode.PLATFORM_UNAVAILABLE, "the platform answered " + response.status());
    }
    return response.bodyText();
  }

  private static String target(String key) {
    return "/values/" + encode(key);
  }

  private static String leaseTarget(String name, String holder) {
    return "/leases/" + encode(name) + "?holder=" + encode(holder);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
