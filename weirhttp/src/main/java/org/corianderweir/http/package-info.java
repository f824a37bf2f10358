/**
 * HTTP on top of Grizzly: a client with pooled connections and a server that passes complete
 * requests to a handler.
 */
@NullMarked
package org.corianderweir.http;

import org.jspecify.annotations.NullMarked;
