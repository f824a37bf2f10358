package org.corianderweir.daemon.control;

import java.util.List;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.model.FailureDescription;
import org.corianderweir.model.timeline.EventCode;

/** Owns the control thread of the process and records the failures of its tasks as events. */
public final class ControlService implements Service {
  /** The name of this service. */
  public static final ServiceName<ControlService> NAME =
      new ServiceName<>("control", ControlService.class);

  private final ControlExecutor executor;

  /** Creates the control thread; failures of its tasks go to the given event log. */
  public ControlService(EventLog events) {
    executor =
        new ControlExecutor(
            failure ->
                events.record(
                    EventCode.CONTROL_TASK_FAILED, "control", FailureDescription.of(failure)));
  }

  /** Returns the executor that runs tasks on the control thread. */
  public ControlExecutor executor() {
    return executor;
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(EventLog.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {}

  @Override
  public void stop() {
    executor.stop();
  }
}
