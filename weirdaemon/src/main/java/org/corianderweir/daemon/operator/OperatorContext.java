package org.corianderweir.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Supplier;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.steering.SteeringService;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.DrainState;

/**
 * What the operators' operations work on.
 *
 * @param settings settings of this entry instance
 * @param configuration the configuration in force
 * @param membership entry instances that are alive
 * @param steering weights in force
 * @param events the latest events
 * @param metrics meters
 * @param time clocks
 * @param drains backend servers that are leaving, as this instance sees them
 * @param requestStop begins a planned stop of the process
 */
public record OperatorContext(
    DaemonSettings settings,
    ConfigurationService configuration,
    MembershipService membership,
    SteeringService steering,
    EventLog events,
    MetricRegistry metrics,
    TimeSource time,
    Supplier<List<DrainState>> drains,
    Runnable requestStop) {}
