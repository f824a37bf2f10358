package org.corianderweir.protocol.operator;

import org.corianderweir.logic.configuration.ConfigurationDifference;
import org.corianderweir.logic.steering.explain.DryRunReport;
import org.corianderweir.logic.steering.explain.Explanation;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.protocol.OperatorMessages;

/** All operations of the operators' interface. */
public final class Operations {
  /** Returns the state of the entry instance that receives the request. */
  public static final Operation<Operation.NoRequest, OperatorMessages.Status> STATUS =
      Operation.get("/status", OperatorMessages.Status.class);

  /** Lists the entry instances that are alive. */
  public static final Operation<Operation.NoRequest, OperatorMessages.Instances> INSTANCES =
      Operation.get("/instances", OperatorMessages.Instances.class);

  /** Returns the latest events of the entry instance that receives the request. */
  public static final Operation<Operation.NoRequest, OperatorMessages.Timeline> TIMELINE =
      Operation.get("/timeline", OperatorMessages.Timeline.class);

  /** Returns the meters of the entry instance that receives the request. */
  public static final Operation<Operation.NoRequest, OperatorMessages.Meters> METRICS =
      Operation.get("/metrics", OperatorMessages.Meters.class);

  /** Begins a planned stop of the entry instance that receives the request. */
  public static final Operation<Operation.NoRequest, OperatorMessages.Accepted> STOP =
      Operation.post("/stop", Operation.NoRequest.class, OperatorMessages.Accepted.class);

  /** Returns the configuration in force. */
  public static final Operation<Operation.NoRequest, Configuration> CONFIGURATION =
      Operation.get("/configuration", Configuration.class);

  /** Replaces the configuration. */
  public static final Operation<Configuration, OperatorMessages.Accepted> REPLACE_CONFIGURATION =
      new Operation<>(
          "PUT", "/configuration", Configuration.class, OperatorMessages.Accepted.class);

  /** Lists the latest changes of the configuration. */
  public static final Operation<Operation.NoRequest, OperatorMessages.History>
      CONFIGURATION_HISTORY =
          Operation.get("/configuration/history", OperatorMessages.History.class);

  /** Returns the differences between two retained revisions. */
  public static final Operation<ConfigurationMessages.DifferenceRequest, ConfigurationDifference>
      CONFIGURATION_DIFFERENCE =
          new Operation<>(
              "GET",
              "/configuration/difference",
              ConfigurationMessages.DifferenceRequest.class,
              ConfigurationDifference.class);

  /** Returns a retained revision of the configuration. */
  public static final Operation<ConfigurationMessages.RevisionRequest, Configuration>
      CONFIGURATION_REVISION =
          new Operation<>(
              "GET",
              "/configuration/revision",
              ConfigurationMessages.RevisionRequest.class,
              Configuration.class);

  /** Lists all labels. */
  public static final Operation<Operation.NoRequest, LabelMessages.Labels> LABELS =
      Operation.get("/labels", LabelMessages.Labels.class);

  /** Adds a label or changes its value. */
  public static final Operation<LabelMessages.SetLabel, OperatorMessages.Accepted> SET_LABEL =
      Operation.post("/labels/set", LabelMessages.SetLabel.class, OperatorMessages.Accepted.class);

  /** Removes a label. */
  public static final Operation<LabelMessages.RemoveLabel, OperatorMessages.Accepted> REMOVE_LABEL =
      Operation.post(
          "/labels/remove", LabelMessages.RemoveLabel.class, OperatorMessages.Accepted.class);

  /** Lists all selectors. */
  public static final Operation<Operation.NoRequest, SelectorMessages.Selectors> SELECTORS =
      Operation.get("/selectors", SelectorMessages.Selectors.class);

  /** Adds or replaces a selector. */
  public static final Operation<SelectorMessages.SelectorText, OperatorMessages.Accepted>
      SET_SELECTOR =
          Operation.post(
              "/selectors/set",
              SelectorMessages.SelectorText.class,
              OperatorMessages.Accepted.class);

  /** Removes a selector. */
  public static final Operation<SelectorMessages.SelectorName, OperatorMessages.Accepted>
      REMOVE_SELECTOR =
          Operation.post(
              "/selectors/remove",
              SelectorMessages.SelectorName.class,
              OperatorMessages.Accepted.class);

  /** Checks a selector without applying it. */
  public static final Operation<SelectorMessages.SelectorText, DryRunReport> CHECK_SELECTOR =
      Operation.post("/selectors/check", SelectorMessages.SelectorText.class, DryRunReport.class);

  /** Lists all organisations. */
  public static final Operation<Operation.NoRequest, OrganisationMessages.Organisations>
      ORGANISATIONS = Operation.get("/organisations", OrganisationMessages.Organisations.class);

  /** Adds or replaces an organisation. */
  public static final Operation<OrganisationMessages.SetOrganisation, OperatorMessages.Accepted>
      SET_ORGANISATION =
          Operation.post(
              "/organisations/set",
              OrganisationMessages.SetOrganisation.class,
              OperatorMessages.Accepted.class);

  /** Removes an organisation. */
  public static final Operation<OrganisationMessages.OrganisationName, OperatorMessages.Accepted>
      REMOVE_ORGANISATION =
          Operation.post(
              "/organisations/remove",
              OrganisationMessages.OrganisationName.class,
              OperatorMessages.Accepted.class);

  /** Lists all sites. */
  public static final Operation<Operation.NoRequest, ClientBlockMessages.Sites> SITES =
      Operation.get("/sites", ClientBlockMessages.Sites.class);

  /** Adds or replaces a site. */
  public static final Operation<ClientBlockMessages.SetSite, OperatorMessages.Accepted> SET_SITE =
      Operation.post(
          "/sites/set", ClientBlockMessages.SetSite.class, OperatorMessages.Accepted.class);

  /** Removes a site that no client block is steered to. */
  public static final Operation<ClientBlockMessages.SiteName, OperatorMessages.Accepted>
      REMOVE_SITE =
          Operation.post(
              "/sites/remove", ClientBlockMessages.SiteName.class, OperatorMessages.Accepted.class);

  /** Returns the site that a client is steered to. */
  public static final Operation<ClientBlockMessages.Client, ClientBlockMessages.Steering>
      FIND_CLIENT_BLOCK =
          Operation.post(
              "/client-blocks/find",
              ClientBlockMessages.Client.class,
              ClientBlockMessages.Steering.class);

  /** Steers client blocks to a site. */
  public static final Operation<ClientBlockMessages.SteerBlocks, OperatorMessages.Accepted>
      STEER_CLIENT_BLOCKS =
          Operation.post(
              "/client-blocks/steer",
              ClientBlockMessages.SteerBlocks.class,
              OperatorMessages.Accepted.class);

  /** Removes client blocks. */
  public static final Operation<ClientBlockMessages.Blocks, OperatorMessages.Accepted>
      REMOVE_CLIENT_BLOCKS =
          Operation.post(
              "/client-blocks/remove",
              ClientBlockMessages.Blocks.class,
              OperatorMessages.Accepted.class);

  /** Returns the limits of organisations, regions, links and selectors. */
  public static final Operation<Operation.NoRequest, OrganisationMessages.Limits> LIMITS =
      Operation.get("/limits", OrganisationMessages.Limits.class);

  /** Lists the keys in force, without their secrets and hashes. */
  public static final Operation<Operation.NoRequest, KeyMessages.Keys> KEYS =
      Operation.get("/keys", KeyMessages.Keys.class);

  /** Issues a key. The key is returned only in the response to this request. */
  public static final Operation<KeyMessages.IssueKey, OperatorMessages.KeyIssued> ISSUE_KEY =
      Operation.post("/keys/issue", KeyMessages.IssueKey.class, OperatorMessages.KeyIssued.class);

  /** Withdraws a key. */
  public static final Operation<KeyMessages.WithdrawKey, OperatorMessages.Accepted> WITHDRAW_KEY =
      Operation.post(
          "/keys/withdraw", KeyMessages.WithdrawKey.class, OperatorMessages.Accepted.class);

  /** Lists the backend servers that are being drained or are drained. */
  public static final Operation<Operation.NoRequest, DrainMessages.Drains> DRAINS =
      Operation.get("/drains", DrainMessages.Drains.class);

  /** Starts draining a backend server. */
  public static final Operation<DrainMessages.ServerName, OperatorMessages.Accepted> DRAIN =
      Operation.post("/drain", DrainMessages.ServerName.class, OperatorMessages.Accepted.class);

  /** Ends the draining of a backend server, which then receives new requests again. */
  public static final Operation<DrainMessages.ServerName, OperatorMessages.Accepted> UNDRAIN =
      Operation.post("/undrain", DrainMessages.ServerName.class, OperatorMessages.Accepted.class);

  /** Returns the shifts as the entry instance that receives the request carries them out. */
  public static final Operation<Operation.NoRequest, ShiftMessages.Shifts> SHIFTS =
      Operation.get("/shifts", ShiftMessages.Shifts.class);

  /** Pauses a shift. */
  public static final Operation<SelectorMessages.SelectorName, OperatorMessages.Accepted>
      PAUSE_SHIFT =
          Operation.post(
              "/shift/pause", SelectorMessages.SelectorName.class, OperatorMessages.Accepted.class);

  /** Resumes a paused shift. */
  public static final Operation<SelectorMessages.SelectorName, OperatorMessages.Accepted>
      RESUME_SHIFT =
          Operation.post(
              "/shift/resume",
              SelectorMessages.SelectorName.class,
              OperatorMessages.Accepted.class);

  /** Shifts the traffic back to the destinations before the latest shift. */
  public static final Operation<SelectorMessages.SelectorName, OperatorMessages.Accepted>
      TURN_BACK_SHIFT =
          Operation.post(
              "/shift/turn-back",
              SelectorMessages.SelectorName.class,
              OperatorMessages.Accepted.class);

  /** Explains how a sample request would be steered. */
  public static final Operation<ExplainMessages.SampleRequest, Explanation> EXPLAIN =
      Operation.post("/explain", ExplainMessages.SampleRequest.class, Explanation.class);

  /** Explains what the entry instance that receives the request would do with a request. */
  public static final Operation<ExplainMessages.ExplainedRequest, RequestExplanation>
      EXPLAIN_REQUEST =
          Operation.post(
              "/explain/request", ExplainMessages.ExplainedRequest.class, RequestExplanation.class);

  private Operations() {}
}
