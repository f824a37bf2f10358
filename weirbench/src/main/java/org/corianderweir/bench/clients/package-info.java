/** Groups of clients that nobody controls, and an entry instance that they are directed against. */
@NullMarked
package org.corianderweir.bench.clients;

import org.jspecify.annotations.NullMarked;
