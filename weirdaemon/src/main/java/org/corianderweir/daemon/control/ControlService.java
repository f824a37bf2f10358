package org.corianderweir.daemon.control;

import java.util.List;
import org.corianderweir.kernel.ControlLoop;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.model.timeline.EventCode;

/** Owns the control thread of the process. */
public final class ControlService implements Service {
  /** The name of this service. */
  public static final ServiceName<ControlService> NAME =
      new ServiceName<>("control", ControlService.class);

  private final ControlLoop loop;

  /** Creates the control thread. */
  public ControlService(EventLog events) {
    loop =
        new ControlLoop(
            failure ->
                events.record(EventCode.CONTROL_TASK_FAILED, "control", String.valueOf(failure)));
  }

  /** Returns the control thread. */
  public ControlLoop loop() {
    return loop;
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(EventLog.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {}

  @Override
  public void stop() {
    loop.stop();
  }
}
