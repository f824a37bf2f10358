/** The callers' interface: lookups, and the steering of requests to backend servers. */
@NullMarked
package org.corianderweir.daemon.traffic;

import org.jspecify.annotations.NullMarked;
