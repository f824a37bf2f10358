/** The daemon program, which runs one entry instance per process. */
@NullMarked
package org.corianderweir.daemon;

import org.jspecify.annotations.NullMarked;
