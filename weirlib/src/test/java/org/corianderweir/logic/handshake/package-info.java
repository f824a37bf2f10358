/** Tests of the handshake between entry instances. */
package org.corianderweir.logic.handshake;
