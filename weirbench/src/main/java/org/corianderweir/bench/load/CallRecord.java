package org.corianderweir.bench.load;

/**
 * One attempt of a caller and what came of it. Times are monotonic nanoseconds of the machine.
 *
 * @param identifier identifier of the request; repetitions have the same
 * @param attempt one for the first attempt
 * @param organisation organisation of the caller; empty on an open route
 * @param key identifier of the key shown; empty on an open route
 * @param route name of the route
 * @param idempotent whether the request may run more than once
 * @param zone availability zone nearest to the caller
 * @param entryInstance name of the entry instance asked; empty if there was none to ask
 * @param intendedNanoseconds when the schedule said that it should be sent
 * @param startNanoseconds when it was sent
 * @param endNanoseconds when the answer or failure was there
 * @param outcome what came of it
 * @param status HTTP status; zero without an answer
 * @param refusal code of a refusal; empty otherwise
 * @param execution what the refusal says of the execution; empty otherwise
 * @param answeredRequest identifier of the request that the answer's body names
 * @param answeredOrganisation organisation that the answer's body names
 * @param backendServer backend server that the answer's body names
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

  /** What came of an attempt. */
  public enum Outcome {
    /** A whole answer of a backend server. */
    ANSWERED,
    /** An answer that is a refusal or an error. */
    REFUSED,
    /** The connection broke or the time passed after the request was sent. */
    LOST,
    /** No connection could be opened, or no entry instance was known. */
    UNREACHABLE
  }

  /** Returns whether the caller may believe that the request did not run. */
  public boolean saysNotRun() {
    return outcome == Outcome.UNREACHABLE
        || (outcome == Outcome.REFUSED && execution.equals("not-run"));
  }

  /** Returns a builder of an attempt. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects what is known of an attempt. */
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

    /** Sets who asks, with which key. */
    public Builder caller(String newOrganisation, String newKey, String newZone) {
      organisation = newOrganisation;
      key = newKey;
      zone = newZone;
      return this;
    }

    /** Sets what is asked for. */
    public Builder route(String newRoute, boolean newIdempotent) {
      route = newRoute;
      idempotent = newIdempotent;
      return this;
    }

    /** Sets the entry instance asked. */
    public Builder entryInstance(String value) {
      entryInstance = value;
      return this;
    }

    /** Sets when it should have been sent and when it was. */
    public Builder sent(long newIntended, long newStart) {
      intendedNanoseconds = newIntended;
      startNanoseconds = newStart;
      return this;
    }

    /** Sets what came of it and when. */
    public Builder ended(Outcome newOutcome, int newStatus, long newEnd) {
      outcome = newOutcome;
      status = newStatus;
      endNanoseconds = newEnd;
      return this;
    }

    /** Sets the code of a refusal and what it says of the execution. */
    public Builder refusal(String newCode, String newExecution) {
      refusal = newCode;
      execution = newExecution;
      return this;
    }

    /** Sets what the answer's body names. */
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
