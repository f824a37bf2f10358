package org.corianderweir.bench.load;

/**
 * One attempt of a caller to send a request, with its outcome. Times are nanoseconds of the
 * machine's monotonic clock.
 *
 * @param identifier identifier of the request; all attempts of a request have the same one
 * @param attempt number of the attempt, from one
 * @param organisation organisation of the caller; empty on an open route
 * @param key identifier of the caller's key; empty on an open route
 * @param route name of the route
 * @param idempotent whether the request may run more than once
 * @param zone availability zone nearest to the caller
 * @param entryInstance name of the entry instance that the attempt was sent to; empty if none was
 *     known
 * @param intendedNanoseconds when the attempt should have been sent by the schedule
 * @param startNanoseconds when it was sent
 * @param endNanoseconds when the response or the failure arrived
 * @param outcome how the attempt ended
 * @param status HTTP status; zero without a response
 * @param refusal code of a refusal; empty otherwise
 * @param execution whether the request ran, as the refusal states it; empty otherwise
 * @param answeredRequest identifier of the request in the response body
 * @param answeredOrganisation organisation in the response body
 * @param backendServer name of the backend server in the response body
 */
public record CallRecord(
    String identifier,
    int attempt,
    String organisation,
    String key,
    String route,
    boolean idempotent,
    String zone,
    String entryInstance,
    long intendedNanoseconds,
    long startNanoseconds,
    long endNanoseconds,
    Outcome outcome,
    int status,
    String refusal,
    String execution,
    String answeredRequest,
    String answeredOrganisation,
    String backendServer) {

  /** How an attempt ended. */
  public enum Outcome {
    /** A complete response of a backend server arrived. */
    ANSWERED,
    /** A response that is a refusal or an error arrived. */
    REFUSED,
    /** The connection broke or the attempt timed out after the request was sent. */
    LOST,
    /** No connection could be opened, or no entry instance was known. */
    UNREACHABLE
  }

  /** Returns whether the caller was told, or knows, that the request did not run. */
  public boolean saysNotRun() {
    return outcome == Outcome.UNREACHABLE
        || (outcome == Outcome.REFUSED && execution.equals("not-run"));
  }

  /** Returns a builder for an attempt. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds the record of an attempt. */
  public static final class Builder {
    private String identifier = "";
    private int attempt = 1;
    private String organisation = "";
    private String key = "";
    private String route = "";
    private boolean idempotent = true;
    private String zone = "";
    private String entryInstance = "";
    private long intendedNanoseconds;
    private long startNanoseconds;
    private long endNanoseconds;
    private Outcome outcome = Outcome.UNREACHABLE;
    private int status;
    private String refusal = "";
    private String execution = "";
    private String answeredRequest = "";
    private String answeredOrganisation = "";
    private String backendServer = "";

    private Builder() {}

    /** Sets the identifier and the number of the attempt. */
    public Builder request(String newIdentifier, int newAttempt) {
      identifier = newIdentifier;
      attempt = newAttempt;
      return this;
    }

    /** Sets the organisation of the caller, its key, and the availability zone nearest to it. */
    public Builder caller(String newOrganisation, String newKey, String newZone) {
      organisation = newOrganisation;
      key = newKey;
      zone = newZone;
      return this;
    }

    /** Sets the name of the route and whether the request is idempotent. */
    public Builder route(String newRoute, boolean newIdempotent) {
      route = newRoute;
      idempotent = newIdempotent;
      return this;
    }

    /** Sets the entry instance that the attempt is sent to. */
    public Builder entryInstance(String value) {
      entryInstance = value;
      return this;
    }

    /** Sets when the attempt should have been sent and when it was sent. */
    public Builder sent(long newIntended, long newStart) {
      intendedNanoseconds = newIntended;
      startNanoseconds = newStart;
      return this;
    }

    /** Sets the outcome, the HTTP status and the time of the end. */
    public Builder ended(Outcome newOutcome, int newStatus, long newEnd) {
      outcome = newOutcome;
      status = newStatus;
      endNanoseconds = newEnd;
      return this;
    }

    /** Sets the code of a refusal and its statement whether the request ran. */
    public Builder refusal(String newCode, String newExecution) {
      refusal = newCode;
      execution = newExecution;
      return this;
    }

    /** Sets the request, organisation and backend server that the response body names. */
    public Builder answer(String newRequest, String newOrganisation, String newServer) {
      answeredRequest = newRequest;
      answeredOrganisation = newOrganisation;
      backendServer = newServer;
      return this;
    }

    /** Builds the record. */
    public CallRecord build() {
      return new CallRecord(
          identifier,
          attempt,
          organisation,
          key,
          route,
          idempotent,
          zone,
          entryInstance,
          intendedNanoseconds,
          startNanoseconds,
          endNanoseconds,
          outcome,
          status,
          refusal,
          execution,
          answeredRequest,
          answeredOrganisation,
          backendServer);
    }
  }
}
