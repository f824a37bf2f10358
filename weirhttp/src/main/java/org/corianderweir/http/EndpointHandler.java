package org.corianderweir.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.jspecify.annotations.Nullable;

/** Reads requests without blocking, lets an endpoint answer them and writes the answers. */
final class EndpointHandler extends HttpHandler {
  private static final int STATUS_TOO_LARGE = 413;
  private static final int STATUS_FAILED = 500;
  private static final Set<String> FRAMING =
      Set.of("content-length", "transfer-encoding", "connection");

  private final HttpEndpoint endpoint;
  private final int bodyLimitBytes;

  EndpointHandler(HttpEndpoint endpoint, int bodyLimitBytes) {
    this.endpoint = endpoint;
    this.bodyLimitBytes = bodyLimitBytes;
    setAllowEncodedSlash(true);
  }

  @Override
  public void service(Request request, Response response) throws IOException {
    response.suspend();
    if (request.getContentLengthLong() > bodyLimitBytes) {
      refuseTooLarge(response);
      return;
    }
    NIOInputStream input = request.getNIOInputStream();
    input.notifyAvailable(new BodyReader(request, response, input));
  }

  private void answer(Request request, Response response, byte[] body) {
    CompletableFuture<HttpReply> reply;
    try {
      reply = endpoint.handle(call(request, body));
    } catch (RuntimeException failure) {
      reply = CompletableFuture.failedFuture(failure);
    }
    if (reply.isDone()) {
      write(response, replyOrFailure(reply));
      return;
    }
    Connection<?> connection = request.getContext().getConnection();
    CancelOnClose cancel = new CancelOnClose(reply);
    connection.addCloseListener(cancel);
    CallerWatchFilter.begin(connection);
    reply.whenComplete(
        (answer, failure) -> {
          connection.removeCloseListener(cancel);
          if (!CallerWatchFilter.beginWrite(connection)) {
            closeAfter(response);
          }
          write(response, failure == null ? answer : failed());
        });
  }

  private static HttpReply replyOrFailure(CompletableFuture<HttpReply> reply) {
    return reply.handle((answer, failure) -> failure == null ? answer : failed()).join();
  }

  private static void closeAfter(Response response) {
    response.getRequest().getRequest().getProcessingState().setKeepAlive(false);
    response.setHeader("Connection", "close");
  }

  private static HttpCall call(Request request, byte[] body) {
    List<HttpHeader> fields = new ArrayList<>();
    for (String name : request.getHeaderNames()) {
      for (String value : request.getHeaders(name)) {
        fields.add(new HttpHeader(name, value));
      }
    }
    String query = request.getQueryString();
    String target = request.getRequestURI() + (query == null ? "" : "?" + query);
    String method = request.getMethod().getMethodString().toUpperCase(Locale.ROOT);
    return new HttpCall(method, target, new HttpHeaders(fields), body);
  }

  private static HttpReply failed() {
    return HttpReply.json(STATUS_FAILED, "{\"code\":\"internal-error\"}");
  }

  private static void refuseTooLarge(Response response) {
    String text =
        "{\"code\":\"body-too-large\",\"execution\":\"not-run\","
            + "\"message\":\"the body is above the limit\"}";
    closeAfter(response);
    write(
        response,
        HttpReply.json(STATUS_TOO_LARGE, text)
            .with("Weir-Refusal", "body-too-large")
            .with("Weir-Execution", "not-run"));
  }

  private static void write(Response response, HttpReply reply) {
    try {
      response.setStatus(reply.status());
      for (HttpHeader field : reply.headers().without(FRAMING).fields()) {
        if (field.name().equalsIgnoreCase("content-type")) {
          response.setContentType(field.value());
        } else {
          response.addHeader(field.name(), field.value());
        }
      }
      response.setContentLength(reply.body().length);
      response.getOutputStream().write(reply.body());
    } catch (IOException | RuntimeException callerGone) {
      response.getRequest().getContext().getConnection().closeSilently();
    } finally {
      CallerWatchFilter.end(response.getRequest().getContext().getConnection());
      if (response.isSuspended()) {
        response.resume();
      }
    }
  }

  /** Cancels an answer that nobody waits for any more. */
  private record CancelOnClose(CompletableFuture<HttpReply> reply)
      implements CloseListener<Closeable, ICloseType> {
    @Override
    public void onClosed(Closeable closeable, ICloseType type) {
      reply.cancel(false);
    }
  }

  /** Collects a body up to the limit. */
  private final class BodyReader implements ReadHandler {
    private final Request request;
    private final Response response;
    private final NIOInputStream input;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    BodyReader(Request request, Response response, NIOInputStream input) {
      this.request = request;
      this.response = response;
      this.input = input;
    }

    @Override
    public void onDataAvailable() throws IOException {
      if (readAvailable().isPresent()) {
        input.notifyAvailable(this);
      }
    }

    @Override
    public void onAllDataRead() throws IOException {
      Optional<ByteArrayOutputStream> whole = readAvailable();
      whole.ifPresent(bytes -> answer(request, response, bytes.toByteArray()));
    }

    @Override
    public void onError(@Nullable Throwable failure) {
      request.getContext().getConnection().closeSilently();
      if (response.isSuspended()) {
        response.resume();
      }
    }

    private Optional<ByteArrayOutputStream> readAvailable() throws IOException {
      while (input.isReady()) {
        byte[] chunk = new byte[Math.max(1, input.readyData())];
        int count = input.read(chunk);
        if (count <= 0) {
          break;
        }
        body.write(chunk, 0, count);
        if (body.size() > bodyLimitBytes) {
          refuseTooLarge(response);
          return Optional.empty();
        }
      }
      return Optional.of(body);
    }
  }
}
