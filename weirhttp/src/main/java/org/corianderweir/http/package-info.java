/** HTTP by Grizzly: a client with pooled connections and a server that hands on whole requests. */
@NullMarked
package org.corianderweir.http;

import org.jspecify.annotations.NullMarked;
