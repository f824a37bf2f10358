package org.corianderweir.daemon.steering;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.ShiftState;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.steering.SteeringTracker;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.timeline.EventCode;

/**
 * Advances the weights of this entry instance on the control thread towards the targets of the
 * configuration and publishes them to the request threads.
 */
public final class SteeringService implements Service {
  /** The name of this service. */
  public static final ServiceName<SteeringService> NAME =
      new ServiceName<>("steering", SteeringService.class);

  private static final Duration STEP_PERIOD = Duration.ofMillis(200);
  private static final CellConditionEvaluator.ServerView ASSUMED_READY =
      server -> new CellConditionEvaluator.ServerCondition(true, true, true, 0);

  private final ConfigurationService configuration;
  private final ControlExecutor controlExecutor;
  private final EventLog events;
  private final TimeSource time;
  private final SteeringTracker tracker;
  private final Map<String, ShiftState> shiftStates = new HashMap<>();
  private volatile SteeringTable table = SteeringTable.EMPTY;
  private volatile CellConditionEvaluator.ServerView serverView = ASSUMED_READY;

  /**
   * Creates the service with an empty table of weights.
   *
   * @param region region of this entry instance
   */
  public SteeringService(
      String region,
      ConfigurationService configuration,
      ControlExecutor controlExecutor,
      EventLog events,
      TimeSource time) {
    this.configuration = configuration;
    this.controlExecutor = controlExecutor;
    this.events = events;
    this.time = time;
    tracker = new SteeringTracker(region, time.monotonicNanoseconds());
  }

  /** Returns the weights in force; any thread may call this. */
  public SteeringTable table() {
    return table;
  }

  /** Sets the view of the condition of backend servers, which must be thread-safe. */
  public void setServerView(CellConditionEvaluator.ServerView view) {
    serverView = view;
  }

  /** Returns the view of the condition of backend servers; any thread may call this. */
  public CellConditionEvaluator.ServerView serverView() {
    return serverView;
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(ConfigurationService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    configuration.onChange(this::onConfigurationChange);
    controlExecutor.scheduleWithFixedDelay(STEP_PERIOD, this::step);
  }

  @Override
  public void stop() {}

  private void onConfigurationChange(Configuration changed) {
    tracker.applyConfiguration(changed, time.wallMilliseconds());
    step();
  }

  private void step() {
    long wallMilliseconds = time.wallMilliseconds();
    table = tracker.step(serverView, time.monotonicNanoseconds(), wallMilliseconds);
    for (SteeringTable.Weights weights : table.weights()) {
      String selector = weights.resolvedSelector().selector().name();
      ShiftState state = ShiftState.of(weights, wallMilliseconds);
      ShiftState previous = shiftStates.put(selector, state);
      if (state != previous && (previous != null || state != ShiftState.SETTLED)) {
        events.record(eventCode(state), selector, "");
      }
    }
  }

  private static EventCode eventCode(ShiftState state) {
    return switch (state) {
      case SETTLED -> EventCode.SHIFT_SETTLED;
      case MOVING -> EventCode.SHIFT_MOVING;
      case HELD -> EventCode.SHIFT_HELD;
      case PAUSED -> EventCode.SHIFT_PAUSED;
    };
  }
}
