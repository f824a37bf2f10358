package org.corianderweir.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;

/** The program {@code weirctl}: calls the operators' interface of an entry instance. */
public final class ControlMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int STATUS_OK = 200;
  private static final int ANSWER_LIMIT_BYTES = 8 * 1024 * 1024;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @Parameter(names = "--instance", required = true, description = "host:port of an instance")
  private String instance = "";

  @Parameter(names = "--credential", required = true, description = "operators' credential")
  private String credential = "";

  @Parameter(description = "COMMAND [NAME=VALUE...]")
  private List<String> words = new ArrayList<>();

  private ControlMain() {}

  /** Runs a command. Exit status 1 means that it failed, 2 wrong usage. */
  public static void main(String[] arguments) {
    System.exit(new ControlMain().run(arguments));
  }

  private int run(String[] arguments) {
    JCommander commander = JCommander.newBuilder().programName("weirctl").addObject(this).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException failure) {
      System.err.println(failure.getMessage());
      return EXIT_USAGE;
    }
    if (words.isEmpty()) {
      commander.usage();
      return EXIT_USAGE;
    }
    return call(words.getFirst(), words.subList(1, words.size()));
  }

  private int call(String command, List<String> parameters) {
    String query = parameters.isEmpty() ? "" : "?" + String.join("&", parameters);
    String method =
        switch (command) {
          case "status", "instances", "configuration", "timeline", "metrics" -> "GET";
          default -> "POST";
        };
    int colon = instance.lastIndexOf(':');
    HttpAddress address =
        new HttpAddress(
            instance.substring(0, colon), Integer.parseInt(instance.substring(colon + 1)));
    HttpClient client =
        new HttpClient(new HttpClientOptions("weirctl", TIMEOUT, TIMEOUT, ANSWER_LIMIT_BYTES));
    client.start();
    try {
      HttpHeaders headers = HttpHeaders.NONE.with("Weir-Operator-Credential", credential);
      HttpCall call = new HttpCall(method, "/" + command + query, headers, new byte[0]);
      HttpReply reply = client.exchange(address, call, TIMEOUT).join();
      System.out.println(reply.bodyText());
      return reply.status() == STATUS_OK ? 0 : EXIT_FAILED;
    } catch (CompletionException failure) {
      System.err.println(failure.getMessage());
      return EXIT_FAILED;
    } finally {
      client.stop();
    }
  }
}
