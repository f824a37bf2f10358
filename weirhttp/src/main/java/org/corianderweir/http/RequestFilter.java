package org.corianderweir.http;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/** Passes the parts of requests from the codec to the pipeline of their connection. */
final class RequestFilter extends BaseFilter {
  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent content = context.getMessage();
    // The codec reports broken content before it passes it on.
    if (!HttpContent.isBroken(content)) {
      CallerPipeline.of(context.getConnection()).reader().onContent(content);
    }
    return context.getStopAction();
  }
}
