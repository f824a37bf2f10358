package org.corianderweir.bench.platform;

import java.util.List;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.platform.ListedInstance;

/** Tests that the in-memory platform fulfils the contract. */
public class InMemoryPlatformTest extends PlatformContract {
  private InMemoryPlatform memory;
  private FaultInjectingPlatform platform;

  @Override
  PlatformService service() {
    memory = new InMemoryPlatform(time);
    platform = new FaultInjectingPlatform(memory, RATES, time);
    return platform;
  }

  @Override
  FaultInjectingPlatform faultInjection() {
    return platform;
  }

  @Override
  void setInstances(List<ListedInstance> instances) {
    memory.setInstances(instances);
  }

  @Override
  ErrorCode lostAnswerCode() {
    return ErrorCode.ANSWER_LOST;
  }
}
